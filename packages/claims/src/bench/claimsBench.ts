/**
 * Benchmarks the claims journal: `node --expose-gc packages/claims/dist/bench/claimsBench.js`.
 *
 * @packageDocumentation
 */
import { measureTakeover, measureThroughput, segmentsPerArchive } from "./measureOwner.js";
import { measureRate } from "./measureRates.js";
import { type Figures, markdownTable } from "./table.js";

const seed = 20261202;
const rates = [16, 87, 261, 870, 1740, 4350];
const setUp = { writesPerSecond: 200, storeTime: 5, seconds: 20, seed };

async function measureEach<T>(values: readonly T[], measure: (value: T) => Promise<Figures>): Promise<Figures[]> {
    const lines: Figures[] = [];
    for (const value of values) {
        lines.push(await measure(value));
    }
    return lines;
}

function print(title: string, lines: readonly Figures[]): void {
    process.stdout.write(markdownTable(title, lines));
}

for (const partitions of [16, 32, 64]) {
    const title =
        `Virtual time, ${partitions} partitions with an owner each, ${setUp.writesPerSecond} writes/s in all, `
        + `${setUp.storeTime} ms for a call of the store, seed ${seed}`;
    print(title, await measureEach(rates, rate => measureRate({ ...setUp, rate, partitions })));
}
await measureThroughput(20_000);
print(
    "Throughput of one owner with the stand-in store",
    await measureEach([20_000, 40_000, 80_000, 160_000], measureThroughput),
);
print(
    "Takeover of a partition from archives",
    await measureEach(
        [50_000, 100_000, 200_000, 400_000, 800_000],
        claims => measureTakeover(claims, segmentsPerArchive(claims)),
    ),
);
print(
    "Takeover of a partition from segments of 200 claims",
    await measureEach([5_000, 10_000, 20_000, 40_000, 80_000], claims => measureTakeover(claims, Infinity)),
);
