// Usage: node packages/config/dist/bench/hangBench.js
// Measures the simulated time until the last process has a change in force.
import { type SimulatedProcess, SimulatedSite } from "../lib/testing/SimulatedSite.js";
import { quantile } from "./statistics.js";

const rounds = 20;
const perCentre = 40;

interface HangCase {
    readonly title: string;
    readonly fault: "hang" | "kill";
    /** The number of processes of one data centre that are lost, highest rank first, so readers first. */
    readonly lost: number;
}

const cases: readonly HangCase[] = [
    { title: "no process lost", fault: "hang", lost: 0 },
    { title: "one reader hangs", fault: "hang", lost: 1 },
    { title: "both readers hang", fault: "hang", lost: 2 },
    { title: "both readers and four of the next tier hang", fault: "hang", lost: 6 },
    { title: "both readers vanish without closing their links", fault: "kill", lost: 2 },
];

for (const one of cases) {
    const times: number[] = [];
    for (let round = 0; round < rounds; round++) {
        times.push(await measure(one, round));
    }
    const [median, longest] = [quantile(times, 0.5), quantile(times, 1)];
    process.stdout.write(
        `${one.title}: last process in force after median ${median} ms, max ${longest} ms (${rounds} rounds)\n`,
    );
}

/** Removes the highest-ranked processes of data centre `a` and sends a change to a process of `b` immediately. */
async function measure({ fault, lost }: HangCase, round: number): Promise<number> {
    const site = new SimulatedSite(["a", "b"], perCentre);
    await site.startAll();
    await site.clock.advanceAsync(2000 + 130 * round);
    const ranked = site.processes[0]!.membership.ranked("a").slice(0, lost).map(one => one.process);
    site.processes.filter(one => ranked.includes(one.name)).forEach(one => site[fault](one));
    const operator: SimulatedProcess = site.processes[perCentre + round]!;
    const accepted = await site.settle(site.change(operator, "s", round + 1));
    const revision = accepted.isOk ? accepted.value.revision : Number.POSITIVE_INFINITY;
    const time = await site.until(() => site.inForce(revision), 20_000);
    site.stopAll();
    return time;
}
