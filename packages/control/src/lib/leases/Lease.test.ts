import { ManualClock, type Outcome } from "@waxwingspar/utils";
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { Result } from "true-myth";
import { type CommitFault, ScriptedStore } from "../testing/ScriptedStore.js";
import { Lease } from "./Lease.js";
import { fenceKey, parseFence, readFence } from "./leaseRow.js";

const duration = 1000;
const settle = () => new Promise(resolve => setImmediate(resolve));

function makeLease(store: ScriptedStore, clock: ManualClock, holder: string): Lease {
    return new Lease({ store, clock, duty: "orders/a", holder, incarnation: `${holder}-1`, duration });
}

/** The check in an agent that refuses orders with an old fence. After a restart it reads the fence from the store. */
class Gate {
    readonly applied: number[] = [];
    private highest: number | undefined;

    constructor(private readonly store: ScriptedStore) {}

    restart(): void {
        this.highest = undefined;
    }

    async order(fence: number): Promise<void> {
        if (this.highest === undefined) {
            const learned = await readFence(this.store, "orders/a");
            this.highest ??= learned.isOk ? learned.value : undefined;
        }
        if (this.highest !== undefined && fence >= this.highest) {
            this.highest = fence;
            this.applied.push(fence);
        }
    }
}

const fault = fc.record<CommitFault>({
    effect: fc.constantFrom("now", "now", "late", "never"),
    answer: fc.constantFrom("now", "now", "held", "lost"),
});
const process = fc.nat({ max: 2 });
const rare = fc.constantFrom(
    "deliver",
    "late",
    "release",
    "restartGate",
    "down",
    "up",
    "up",
    "stale",
    "fresh",
    "fresh",
);
const command = fc.oneof(
    { weight: 8, arbitrary: fc.record({ kind: fc.constant("poll" as const), process }) },
    { weight: 6, arbitrary: fc.record({ kind: fc.constant("check" as const), process }) },
    { weight: 4, arbitrary: fc.record({ kind: fc.constant("act" as const) }) },
    { weight: 4, arbitrary: fc.record({ kind: fc.constant("advance" as const), time: fc.nat({ max: 700 }) }) },
    { weight: 2, arbitrary: fc.record({ kind: fc.constant("fault" as const), fault }) },
    { weight: 3, arbitrary: fc.record({ kind: rare }) },
);

test("at most one holder, no old fence applied", async context => {
    const seed = Number(globalThis.process.env["SEED"] ?? Date.now() % 1_000_000_007);
    context.diagnostic(`seed ${seed}`);
    let orders = 0;
    const property = fc.asyncProperty(fc.array(command, { minLength: 20, maxLength: 80 }), async commands => {
        const clock = new ManualClock();
        const store = new ScriptedStore();
        const leases = ["p", "q", "r"].map(name => makeLease(store, clock, name));
        const gate = new Gate(store);
        const paused: number[] = [];
        const takers = new Map<number, number>();
        for (const step of commands) {
            await run(step);
            await settle();
            const holders = leases.flatMap((lease, index) => lease.isHeld() ? [index] : []);
            assert.ok(holders.length <= 1, `holders ${holders.join()}`);
            for (const index of holders) {
                const fence = leases[index]!.fence!;
                assert.equal(takers.get(fence) ?? index, index, `fence ${fence} given twice`);
                takers.set(fence, index);
                assert.ok(parseFence(store.row(fenceKey("orders/a")))! >= fence);
            }
        }
        assert.deepEqual(gate.applied, [...gate.applied].sort((a, b) => a - b));
        orders += gate.applied.length;
        await assertRecovers(store, clock, leases);

        async function run(step: typeof command extends fc.Arbitrary<infer T> ? T : never): Promise<void> {
            if (step.kind === "poll" && "process" in step) {
                void leases[step.process]!.poll();
            }
            else if (step.kind === "advance" && "time" in step) {
                clock.advance(step.time);
            }
            else if (step.kind === "check" && "process" in step) {
                await leases[step.process]!.checked(sent => pauseBeforeSending(sent));
            }
            else if (step.kind === "fault" && "fault" in step) {
                store.faults.push(step.fault);
            }
            else {
                runPlain(step.kind);
            }
        }

        /** Queues the order, so that it is delivered only by a later `act` step. */
        async function pauseBeforeSending(sent: number): Promise<Outcome<void>> {
            paused.push(sent);
            return Result.ok(undefined);
        }

        function runPlain(kind: string): void {
            const actions: Record<string, () => unknown> = {
                act: () => paused.splice(0, 1).forEach(sent => void gate.order(sent)),
                deliver: () => store.deliver(),
                late: () => store.applyLate(),
                release: () => void leases.find(lease => lease.isHeld())?.release(),
                restartGate: () => gate.restart(),
                down: () => store.up = false,
                up: () => store.up = true,
                stale: () => store.setStale(true),
                fresh: () => store.setStale(false),
            };
            actions[kind]!();
        }
    });
    await fc.assert(property, { seed, numRuns: 600 });
    assert.ok(orders > 100, `only ${orders} orders reached the gate`);
});

/** Checks that exactly one process holds the lease within a few polls after all faults have ended. */
async function assertRecovers(store: ScriptedStore, clock: ManualClock, leases: readonly Lease[]): Promise<void> {
    store.up = true;
    store.setStale(false);
    store.faults.length = 0;
    store.applyLate();
    store.deliver();
    await settle();
    for (let round = 0; round < 8; round++) {
        for (const lease of leases) {
            await lease.poll();
        }
        clock.advance(duration / 3);
    }
    assert.equal(leases.filter(lease => lease.isHeld()).length, 1);
}

test("renewal counts from before it was sent", async () => {
    const clock = new ManualClock();
    const store = new ScriptedStore();
    const lease = makeLease(store, clock, "p");
    store.faults.push({ effect: "now", answer: "held" });
    const polled = lease.poll();
    await settle();
    clock.advance(duration);
    store.deliver();
    assert.deepEqual(await polled, Result.ok(false));
    assert.equal(lease.fence, undefined);
});

test("an acquisition whose response is lost is found by its write id", async () => {
    const clock = new ManualClock();
    const store = new ScriptedStore();
    const lease = makeLease(store, clock, "p");
    store.faults.push({ effect: "now", answer: "lost" });
    assert.deepEqual(await lease.poll(), Result.ok(true));
    assert.equal(lease.fence, 1);
});

test("store down: the holder stops in time and nobody else takes over", async () => {
    const clock = new ManualClock();
    const store = new ScriptedStore();
    const [holder, other] = [makeLease(store, clock, "p"), makeLease(store, clock, "q")];
    await holder.poll();
    await other.poll();
    store.up = false;
    clock.advance(duration);
    assert.equal(holder.isHeld(), false);
    const refused = await holder.checked(async () => Result.ok(undefined));
    assert.equal(refused.isErr && refused.error.code.number, 4004);
    clock.advance(3_600_000);
    assert.equal((await other.poll()).isErr, true);
    assert.equal(other.isHeld(), false);
    store.up = true;
    assert.deepEqual(await other.poll(), Result.ok(true));
    assert.equal(other.fence, 2);
});

test("a released lease can be acquired at once", async () => {
    const clock = new ManualClock();
    const store = new ScriptedStore();
    const [holder, other] = [makeLease(store, clock, "p"), makeLease(store, clock, "q")];
    await holder.poll();
    await holder.release();
    assert.deepEqual(await other.poll(), Result.ok(true));
    assert.equal(holder.isHeld(), false);
});

test("a restarted gate refuses the old holder, also after a stale read", async () => {
    const clock = new ManualClock();
    const store = new ScriptedStore();
    const [old, next] = [makeLease(store, clock, "p"), makeLease(store, clock, "q")];
    const gate = new Gate(store);
    await old.poll();
    const paused = old.fence!;
    await next.poll();
    store.setStale(true);
    clock.advance(2 * duration);
    await next.poll();
    await gate.order(next.fence!);
    gate.restart();
    await gate.order(paused);
    store.setStale(false);
    await gate.order(paused);
    await gate.order(next.fence!);
    assert.deepEqual(gate.applied, [2]);
});

test("a renewal answered after the release does not revive the lease", async () => {
    const clock = new ManualClock();
    const store = new ScriptedStore();
    const lease = makeLease(store, clock, "p");
    await lease.poll();
    store.faults.push({ effect: "now", answer: "held" });
    const renewed = lease.poll();
    await lease.release();
    store.deliver();
    assert.deepEqual(await renewed, Result.ok(false));
    assert.equal(lease.isHeld(), false);
});
