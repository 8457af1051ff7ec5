import { ManualClock, type Outcome, type Random, seededRandom, sleep } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import test from "node:test";
import { MemoryTableStore } from "../memory/MemoryTableStore.js";
import { StoreClient } from "./StoreClient.js";

/** The rates of one process when 8,500 processes share 2,000 reads and 300 writes per second. */
const readsPerSecond = 2000 / 8500;
const writesPerSecond = 300 / 8500;
/**
 * The factor by which one second may exceed the mean rate, since the processes have random phases. The store refuses
 * calls above that.
 */
const tolerance = 1.3;

interface Load {
    readonly reads: number;
    readonly writes: number;
}

/** Simulates a process that always has a call to make. */
async function callForever(clock: ManualClock, random: Random, call: () => Promise<Outcome<unknown>>): Promise<void> {
    for (;;) {
        const outcome = await call();
        const wait = outcome.isErr ? outcome.error.retryAfter ?? 1000 : 100;
        await sleep(clock, wait * (1 + random.next()));
    }
}

async function measure(clock: ManualClock, store: MemoryTableStore, seconds: number): Promise<Load[]> {
    const loads: Load[] = [];
    for (let second = 0; second < seconds; second++) {
        const before = { ...store.faults.arrivals };
        await clock.advanceAsync(1000, 100);
        const { read, write } = store.faults.arrivals;
        loads.push({ reads: read - before.read, writes: write - before.write });
    }
    return loads;
}

function peak(loads: readonly Load[]): Load {
    return {
        reads: Math.max(...loads.map(({ reads }) => reads)),
        writes: Math.max(...loads.map(({ writes }) => writes)),
    };
}

function startFleet(clock: ManualClock, store: MemoryTableStore, processes: number, random: Random): void {
    for (let index = 0; index < processes; index++) {
        const client = new StoreClient({ store, clock, random, readsPerSecond, writesPerSecond, maxWait: 60_000 });
        const write = () => client.commit({ writeId: "w", conditions: [], writes: [{ key: `${index}`, value: 1 }] });
        void callForever(clock, random, () => client.get("a"));
        void callForever(clock, random, write);
    }
}

/** `FLEET_SIZES=8500` simulates the whole fleet, which takes minutes. */
const sizes = (process.env["FLEET_SIZES"] ?? "300,1200").split(",").map(Number);

for (const processes of sizes) {
    test(`${processes} busy processes stay within their combined rate before, during and after an outage`, async t => {
        const seed = 20261202;
        t.diagnostic(`seed ${seed}`);
        const clock = new ManualClock();
        const store = new MemoryTableStore({ clock });
        startFleet(clock, store, processes, seededRandom(seed));
        const phases = { start: await measure(clock, store, 20), outage: [] as Load[], recovery: [] as Load[] };
        store.faults.set({ down: true });
        phases.outage = await measure(clock, store, 60);
        store.faults.set({ down: false });
        phases.recovery = await measure(clock, store, 60);
        for (const [phase, loads] of Object.entries(phases)) {
            const { reads, writes } = peak(loads);
            t.diagnostic(`${phase}: at most ${reads} reads and ${writes} writes a second`);
            assert.ok(reads <= processes * readsPerSecond * tolerance + 10, `${phase}: ${reads} reads`);
            assert.ok(writes <= processes * writesPerSecond * tolerance + 10, `${phase}: ${writes} writes`);
        }
        const end = phases.recovery.slice(-20).reduce((sum, { reads }) => sum + reads, 0) / 20;
        assert.ok(end > processes * readsPerSecond * 0.8, `only ${end} reads a second after the outage`);
    });
}
