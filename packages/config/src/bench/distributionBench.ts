// Usage: node packages/config/dist/bench/distributionBench.js [PART]..., where PART is one of
// reads|traffic|spread|polling|slow|burst|restarts|centre. Measures all parts by default.
import { sleep } from "@waxwingspar/utils";
import { type LoopbackProcess, LoopbackSite } from "./LoopbackSite.js";
import { fitLine, mean, quantile } from "./statistics.js";

const window = 10_000;
const millisecondsPerSecond = 1000;

const parts: Record<string, () => Promise<void>> = {
    reads: measureReads,
    traffic: measureTraffic,
    spread: () => measureSpread({ title: "in force", size: 240, offers: true }),
    polling: () => measureSpread({ title: "in force, without offers", size: 240, offers: false }),
    slow: () => measureSpread({ title: "in force, store 500 ms slow", size: 240, offers: true, storeDelay: 500 }),
    burst: measureBurst,
    restarts: () => measureRestarts("a third of each data centre", index => Math.floor(index / 3) % 3),
    centre: () => measureRestarts("a whole data centre", index => index % 3),
};

const chosen = process.argv.slice(2);
for (const name of chosen.length > 0 ? chosen : Object.keys(parts)) {
    await parts[name]?.();
}
process.exit(0);

function print(line: string): void {
    process.stdout.write(line + "\n");
}

async function withSite(
    count: number,
    centres: number,
    use: (site: LoopbackSite) => Promise<void>,
    options: ConstructorParameters<typeof LoopbackSite>[0] = {},
): Promise<void> {
    const site = new LoopbackSite(options);
    await site.start(count, centres);
    await use(site);
    await site.stop();
}

/** Measures store reads per second without changes, by number of processes and by number of data centres. */
async function measureReads(): Promise<void> {
    const bySize = [];
    for (const size of [30, 60, 120, 240, 480]) {
        bySize.push({ x: size, y: await idleReads(size, 3) });
    }
    const byCentre = [];
    for (const centres of [1, 3, 6, 12, 18]) {
        byCentre.push({ x: centres, y: await idleReads(180, centres) });
    }
    const size = fitLine(bySize);
    const centre = fitLine(byCentre);
    print(`reads/s = ${size.intercept.toFixed(2)} + ${size.slope.toFixed(5)} per process (3 data centres)`);
    print(`reads/s = ${centre.intercept.toFixed(2)} + ${centre.slope.toFixed(3)} per data centre (180 processes)`);
}

async function idleReads(size: number, centres: number): Promise<number> {
    let rate = 0;
    await withSite(size, centres, async site => {
        const before = { ...site.table.faults.arrivals };
        const lists = site.liveList.faults.arrivals.read;
        await sleep(site.clock, window);
        rate = (site.table.faults.arrivals.read - before.read) * millisecondsPerSecond / window;
        const listRate = (site.liveList.faults.arrivals.read - lists) * millisecondsPerSecond / window;
        print(`idle: ${size} processes in ${centres} data centres: ${rate} store reads/s, ${listRate} list reads/s`);
    });
    return rate;
}

/** Measures bytes per second and processor time of each process at several rates of change. */
async function measureTraffic(): Promise<void> {
    for (const [size, rate] of [[60, 0], [120, 0], [240, 0], [480, 0], [240, 0.15], [240, 1], [240, 10]] as const) {
        await withSite(size, 3, async site => {
            const before = site.totalBytes();
            const processor = process.cpuUsage();
            const failuresBefore = site.failedCalls;
            const revision = site.processes[0]!.node.revision;
            await changeFor(site, rate, 2 * window);
            const seconds = 2 * window / millisecondsPerSecond;
            const rates = site.totalBytes().map((bytes, index) => (bytes - before[index]!) / seconds);
            const { user, system } = process.cpuUsage(processor);
            const share = (user + system) / 1e6 / seconds / size;
            const failures = site.failedCalls - failuresBefore;
            const changed = site.processes[0]!.node.revision - revision;
            print(
                `traffic: ${size} processes, ${rate} changes/s (${changed} made): bytes/s per process mean `
                    + `${mean(rates).toFixed(0)}, p99 ${quantile(rates, 0.99).toFixed(0)}, max ${
                        quantile(rates, 1).toFixed(0)
                    }; `
                    + `processor ${(100 * share).toFixed(3)}% of a core per process; ${failures} calls failed`,
            );
        });
    }
}

async function changeFor(site: LoopbackSite, rate: number, duration: number): Promise<void> {
    const end = site.clock.now() + duration;
    const pause = rate === 0 ? duration : millisecondsPerSecond / rate;
    while (site.clock.now() < end) {
        const started = site.clock.now();
        if (rate > 0) {
            await site.change(site.processes[1]!);
        }
        await sleep(site.clock, Math.max(0, Math.min(pause - (site.clock.now() - started), end - site.clock.now())));
    }
}

interface SpreadCase {
    readonly title: string;
    readonly size: number;
    readonly offers: boolean;
    readonly storeDelay?: number;
}

/** Measures the time from the acceptance of a change until each process has it in force, over many single changes. */
async function measureSpread({ title, size, offers, storeDelay = 0 }: SpreadCase): Promise<void> {
    await withSite(size, 3, async site => {
        site.table.faults.set({ delay: storeDelay });
        const times: number[] = [];
        const spreads: number[] = [];
        for (let number = 0; number < 40; number++) {
            const found = await timeChange(site, site.processes[number % size]!, site.processes);
            times.push(...found);
            spreads.push(Math.max(...found) - Math.min(...found));
            await sleep(site.clock, 200 + 37 * (number % 11));
        }
        printTimes(`${title}: ${size} processes in 3 data centres, 40 changes`, times);
        const late = [100, 250, 500, 1000].map(lead => {
            const share = times.filter(time => time > lead).length / times.length;
            return `${lead} ms ${(100 * share).toFixed(2)}%`;
        });
        print(`  too late for an activation scheduled after: ${late.join(", ")}`);
        print(
            `  first to last process of one change: median ${quantile(spreads, 0.5).toFixed(0)} ms, max ${
                quantile(spreads, 1).toFixed(0)
            } ms`,
        );
    }, { offers });
}

/** Measures the time from acceptance until in force, and bytes per second, at ten changes per second. */
async function measureBurst(): Promise<void> {
    await withSite(240, 3, async site => {
        const applied = site.processes.map(() => [] as { revision: number; at: number; }[]);
        site.processes.forEach((one, index) => {
            one.onApplied = revision => applied[index]!.push({ revision, at: site.clock.now() });
        });
        const before = site.totalBytes();
        const accepted: { revision: number; at: number; }[] = [];
        const started = site.clock.now();
        while (site.clock.now() - started < window) {
            const revision = await site.change(site.processes[1]!);
            accepted.push({ revision, at: site.clock.now() });
            await sleep(site.clock, Math.max(0, accepted.length * 100 - (site.clock.now() - started)));
        }
        const seconds = (site.clock.now() - started) / millisecondsPerSecond;
        const rates = site.totalBytes().map((bytes, index) => (bytes - before[index]!) / seconds);
        await sleep(site.clock, 3000);
        const times = accepted.flatMap(({ revision, at }) =>
            applied.map(list => Math.max(0, (list.find(one => one.revision >= revision)?.at ?? Infinity) - at))
        );
        printTimes(
            `in force in a burst of ${accepted.length} changes in ${seconds.toFixed(0)} s, 240 processes`,
            times,
        );
        print(
            `  bytes/s per process mean ${mean(rates).toFixed(0)}, p99 ${quantile(rates, 0.99).toFixed(0)}, max ${
                quantile(rates, 1).toFixed(0)
            }`,
        );
    });
}

/** Returns the milliseconds from the acceptance of a change until each process has it in force. */
async function timeChange(site: LoopbackSite, operator: LoopbackProcess, observed: readonly LoopbackProcess[]) {
    const seen = new Map<string, { revision: number; at: number; }[]>();
    for (const one of observed) {
        const list: { revision: number; at: number; }[] = [];
        seen.set(one.name, list);
        one.onApplied = revision => list.push({ revision, at: site.clock.now() });
    }
    const revision = await site.change(operator);
    const accepted = site.clock.now();
    const arrived = (name: string) => seen.get(name)?.find(one => one.revision >= revision)?.at;
    const limit = accepted + 20_000;
    while (observed.some(one => arrived(one.name) === undefined) && site.clock.now() < limit) {
        await sleep(site.clock, 20);
    }
    return observed.map(one => Math.max(0, (arrived(one.name) ?? Number.POSITIVE_INFINITY) - accepted));
}

/** Measures the same while a third of the processes restarts, on new ports and without their previous state. */
async function measureRestarts(title: string, groupOf: (index: number) => number): Promise<void> {
    const size = 90;
    await withSite(size, 3, async site => {
        const times: number[] = [];
        const readyTimes: number[] = [];
        for (let round = 0; round < 5; round++) {
            const lost = site.processes.filter((_one, index) => groupOf(index) === round % 3);
            const kept = site.processes.filter(one => !lost.includes(one));
            const operator = kept[round]!;
            const restarts = lost.map(async one => {
                await one.close();
                const started = site.clock.now();
                await site.startProcess(one.name, one.dataCentre);
                readyTimes.push(site.clock.now() - started);
            });
            for (let number = 0; number < 4; number++) {
                times.push(...await timeChange(site, operator, kept));
            }
            await Promise.all(restarts);
            await sleep(site.clock, 2000);
        }
        printTimes(`${title} restarting: ${size} processes, 20 changes, at those that stay`, times);
        printTimes(`${title} restarting: from start to ready`, readyTimes);
    });
}

function printTimes(title: string, times: readonly number[]): void {
    const shown = [0.5, 0.9, 0.99, 1].map(share => quantile(times, share).toFixed(0));
    print(
        `${title}: median ${shown[0]} ms, p90 ${shown[1]} ms, p99 ${shown[2]} ms, max ${
            shown[3]
        } ms (${times.length} times)`,
    );
}
