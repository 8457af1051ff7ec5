import { MemoryObjectStore, MemoryTableStore } from "@waxwingspar/stores";
import { ManualClock, seededRandom } from "@waxwingspar/utils";
import { type ClaimRequest } from "../lib/Claims.js";
import { ClaimJournals } from "../lib/journal/ClaimJournals.js";
import { partitionOf } from "../lib/routing/partitionOf.js";
import { type Figures, quantile } from "./table.js";

/** The load that {@link measureRate} generates. */
export interface RateSetUp {
    /** Claims per second over all partitions. */
    readonly rate: number;
    readonly partitions: number;
    /** Writes per second over all partitions. */
    readonly writesPerSecond: number;
    /** Milliseconds that the store takes per call. */
    readonly storeTime: number;
    /** Duration of the measurement in virtual seconds. */
    readonly seconds: number;
    readonly seed: number;
}

const msPerSecond = 1000;
const retention = 86_400_000;
/** Milliseconds after the measurement in which waiting calls can end. */
const drainTime = 2000;

/** A request with a unique key. */
export function benchRequest(number: number): ClaimRequest {
    const runner = { target: `target-${number % 200}`, incarnation: "0b7e4f0a-7a52-4b0e-9d8b-0d1e6f3f9a11" };
    return { route: "records", organisation: "ports", key: `key-${number}`, digest: `${number}`, runner, retention };
}

/**
 * Measures latency and writes in virtual time with a separate owner per partition. Claims arrive at random times,
 * independently of whether earlier ones have ended.
 */
export async function measureRate(setUp: RateSetUp): Promise<Figures> {
    const { rate, partitions, writesPerSecond, storeTime, seconds, seed } = setUp;
    const clock = new ManualClock();
    const random = seededRandom(seed);
    const table = new MemoryTableStore({ clock });
    const objects = new MemoryObjectStore({ clock });
    table.faults.set({ delay: storeTime });
    const owners = Array.from({ length: partitions }, () => {
        return new ClaimJournals({ table, objects, clock, random, partitions, writesPerSecond });
    });
    await Promise.all([
        ...owners.map((owner, partition) => owner.load(partition)),
        clock.advanceAsync(drainTime, storeTime),
    ]);
    const writesBefore = table.faults.arrivals.write;
    const latencies: number[] = [];
    let refused = 0;
    let sent = 0;
    for (let time = 0; time < seconds * msPerSecond; time++) {
        for (let due = rate / msPerSecond; random.next() < due; due--) {
            const request = benchRequest(sent++);
            const start = clock.now();
            void owners[partitionOf(request, partitions)]?.acquire(request).then(outcome => {
                refused += outcome.isOk ? 0 : 1;
                latencies.push(clock.now() - start);
            });
        }
        await clock.advanceAsync(1, 1);
    }
    const writes = table.faults.arrivals.write - writesBefore;
    await clock.advanceAsync(drainTime, 1);
    latencies.sort((a, b) => a - b);
    return {
        "claims/s": sent / seconds,
        "writes/s": writes / seconds,
        "writes per claim": writes / sent,
        "median ms": quantile(latencies, 0.5),
        "p95 ms": quantile(latencies, 0.95),
        "p99 ms": quantile(latencies, 0.99),
        "max ms": quantile(latencies, 1),
        refused,
        unanswered: sent - latencies.length,
    };
}
