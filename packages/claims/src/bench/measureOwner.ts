import { MemoryObjectStore, MemoryTableStore } from "@waxwingspar/platform";
import { seededRandom, sleep, SystemClock } from "@waxwingspar/utils";
import { performance } from "node:perf_hooks";
import { ClaimJournal } from "../lib/journal/ClaimJournal.js";
import { benchRequest } from "./measureRates.js";
import { type Figures } from "./table.js";

/** Claims in flight while a journal is filled. */
const batch = 200;
const settleTime = 200;
const bytesPerKiB = 1024;
const microsecondsPerMillisecond = 1000;

function usedHeap(): number {
    globalThis.gc?.();
    return process.memoryUsage().heapUsed;
}

function createStores(clock: SystemClock) {
    return { table: new MemoryTableStore({ clock }), objects: new MemoryObjectStore({ clock }) };
}

function createJournal(clock: SystemClock, stores: ReturnType<typeof createStores>, archiveAfter: number) {
    return new ClaimJournal({
        partition: 0,
        ...stores,
        clock,
        random: seededRandom(1),
        pace: () => 0,
        patience: 60_000,
        maxClaims: 10_000_000,
        archiveAfter,
    });
}

async function fill(journal: ClaimJournal, claims: number): Promise<void> {
    for (let first = 0; first < claims; first += batch) {
        await Promise.all(Array.from({ length: batch }, (_, index) => journal.acquire(benchRequest(first + index))));
    }
}

/** Measures the processor time that an owner and the stand-in store take for a claim, in batches. */
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

/** Measures how long a new owner reads a partition, most of it from archives, and the memory that it then takes. */
export async function measureTakeover(claims: number): Promise<Figures> {
    const clock = new SystemClock();
    const stores = createStores(clock);
    // 200 claims in a segment, 50 segments in an archive, up to 49 segments left over.
    await fill(createJournal(clock, stores, 50), claims);
    // The first owner may still be archiving.
    await sleep(clock, settleTime);
    const reads = stores.table.faults.arrivals.read + stores.objects.faults.arrivals.read;
    const heap = usedHeap();
    const start = performance.now();
    const journal = createJournal(clock, stores, 50);
    const outcome = await journal.load();
    const time = performance.now() - start;
    const kept = usedHeap() - heap;
    return {
        claims: outcome.isOk ? journal.size : NaN,
        "ms to take over": time,
        "µs per claim": time * microsecondsPerMillisecond / claims,
        "store reads": stores.table.faults.arrivals.read + stores.objects.faults.arrivals.read - reads,
        "KiB kept": Math.round(kept / bytesPerKiB),
        "bytes per claim": Math.round(kept / claims),
    };
}
