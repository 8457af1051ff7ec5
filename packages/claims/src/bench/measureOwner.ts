import { MemoryObjectStore, MemoryTableStore } from "@waxwingspar/stores";
import { seededRandom, sleep, SystemClock } from "@waxwingspar/utils";
import { performance } from "node:perf_hooks";
import { ClaimJournal } from "../lib/journal/ClaimJournal.js";
import { benchRequest } from "./measureRates.js";
import { type Figures } from "./table.js";

/** Number of claims in flight while a journal is filled. */
const batch = 200;
/** Number of claims that {@link acquireTime} makes. */
const acquires = 2000;
/** Milliseconds for which a journal may still be archiving after it was filled. */
const archivingTime = 200;
const bytesPerKiB = 1024;
const microsecondsPerMillisecond = 1000;

/** Bytes of memory in use, typed arrays included. Collects garbage first if `--expose-gc` is set. */
function usedMemory(): number {
    globalThis.gc?.();
    const { heapUsed, arrayBuffers } = process.memoryUsage();
    return heapUsed + arrayBuffers;
}

function createStores(clock: SystemClock) {
    return { table: new MemoryTableStore({ clock }), objects: new MemoryObjectStore({ clock }) };
}

function countReads({ table, objects }: ReturnType<typeof createStores>): number {
    return table.faults.arrivals.read + objects.faults.arrivals.read;
}

/** Microseconds to record a new claim in a journal that holds a number of claims. */
async function acquireTime(journal: ClaimJournal, known: number): Promise<number> {
    const start = performance.now();
    await fill(journal, acquires, known);
    return (performance.now() - start) * microsecondsPerMillisecond / acquires;
}

function createJournal(clock: SystemClock, stores: ReturnType<typeof createStores>, archiveAfter: number) {
    return new ClaimJournal({
        partition: 0,
        ...stores,
        clock,
        random: seededRandom(1),
        pace: () => 0,
        callTimeout: 60_000,
        maxClaims: 10_000_000,
        archiveAfter,
    });
}

async function fill(journal: ClaimJournal, claims: number, start = 0): Promise<void> {
    for (let first = start; first < start + claims; first += batch) {
        await Promise.all(Array.from({ length: batch }, (_, index) => journal.acquire(benchRequest(first + index))));
    }
}

/** Segments per archive with which a partition has at most about a hundred archives, as after 24 hours of operation. */
export function segmentsPerArchive(claims: number): number {
    return Math.max(10, Math.ceil(claims / batch / 100));
}

/** Measures the throughput and the CPU time per claim of an owner and its in-memory store, in batches. */
export async function measureThroughput(claims: number): Promise<Figures> {
    const clock = new SystemClock();
    const journal = createJournal(clock, createStores(clock), 500);
    const start = process.cpuUsage();
    const startTime = performance.now();
    await fill(journal, claims);
    const time = performance.now() - startTime;
    const { user, system } = process.cpuUsage(start);
    return {
        claims,
        "claims/s": Math.round(claims / time * 1000),
        "µs of processor per claim": (user + system) / claims,
    };
}

/**
 * Measures the time that a new owner takes to load a partition, and the memory that the partition then uses.
 *
 * @param archiveAfter - Segments of 200 claims after which the segments are moved to an archive.
 */
export async function measureTakeover(claims: number, archiveAfter: number): Promise<Figures> {
    const clock = new SystemClock();
    const stores = createStores(clock);
    await fill(createJournal(clock, stores, archiveAfter), claims);
    // The first owner may still be archiving.
    await sleep(clock, archivingTime);
    const reads = countReads(stores);
    const before = usedMemory();
    const start = performance.now();
    const journal = createJournal(clock, stores, archiveAfter);
    const outcome = await journal.load();
    const time = performance.now() - start;
    const kept = usedMemory() - before;
    const readsDone = countReads(stores);
    return {
        claims: outcome.isOk ? journal.size : NaN,
        "ms to take over": time,
        "µs per claim": time * microsecondsPerMillisecond / claims,
        "µs per acquire then": await acquireTime(journal, claims),
        "store reads": readsDone - reads,
        "KiB kept": Math.round(kept / bytesPerKiB),
        "bytes per claim": Math.round(kept / claims),
    };
}
