import { type Order } from "@waxwingspar/engine";
import { type HistoryEvent } from "@waxwingspar/history";
import { failure, ManualClock, type Outcome, platformCodes, requestCodes } from "@waxwingspar/utils";
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { pino } from "pino";
import { Result } from "true-myth";
import { OrderGate } from "./OrderGate.js";

/** A gate with an engine that ignores fences, and a store that holds the highest one. */
class GateSite {
    readonly clock = new ManualClock();
    readonly applied: string[] = [];
    readonly history: HistoryEvent[] = [];
    storeFence = 0;
    storeDown = false;
    inUse: { model: string; version: string; }[] = [];
    answer: (order: Order) => Promise<Outcome<void>> = () => Promise.resolve(Result.ok<void, never>(undefined));
    gate = this.createGate();

    /** Simulates a restart of the agent, which loses its memory. */
    restart(): void {
        this.gate.stop();
        this.gate = this.createGate();
    }

    private createGate(): OrderGate {
        const order = (asked: Order): Promise<Outcome<void>> => {
            this.applied.push(asked.id);
            return this.answer(asked);
        };
        return new OrderGate({
            target: "a",
            engine: { order } as never,
            clock: this.clock,
            record: event => this.history.push(event),
            readFence: () =>
                Promise.resolve(
                    this.storeDown
                        ? Result.err(failure(platformCodes.storeUnavailable, "down"))
                        : Result.ok(this.storeFence),
                ),
            log: pino({ enabled: false }),
            retryDelay: 1000,
            inUse: () => this.inUse,
            applied: () => Promise.resolve(),
        });
    }
}

function order(id: string, fence: number): Order {
    return { id, fence, action: { kind: "setRole", role: "serving" } };
}

async function codeOf(outcome: Promise<Outcome<void>>): Promise<number | undefined> {
    const settled = await outcome;
    return settled.isErr ? settled.error.code.number : undefined;
}

const stale = platformCodes.staleFence.number;

test("an older fence is refused, the same one is not", async () => {
    const site = new GateSite();
    await site.gate.start();
    assert.equal(await codeOf(site.gate.apply(order("o1", 5))), undefined);
    assert.equal(await codeOf(site.gate.apply(order("o2", 4))), stale);
    assert.equal(await codeOf(site.gate.apply(order("o3", 5))), undefined);
    assert.ok(site.gate.noteFence(7).isOk);
    assert.equal(await codeOf(site.gate.apply(order("o4", 6))), stale);
    assert.deepEqual(site.applied, ["o1", "o3"]);
});

test("after a restart no order passes until the fence was read back", async () => {
    const site = new GateSite();
    await site.gate.start();
    await site.gate.apply(order("o1", 5));
    site.storeFence = 6;
    site.storeDown = true;
    site.restart();
    await site.gate.start();
    assert.equal(await codeOf(site.gate.apply(order("o2", 9))), platformCodes.storeUnavailable.number);
    site.storeDown = false;
    await site.clock.advanceAsync(1100, 100);
    assert.equal(await codeOf(site.gate.apply(order("o3", 5))), stale);
    assert.equal(await codeOf(site.gate.apply(order("o4", 6))), undefined);
    assert.deepEqual(site.applied, ["o1", "o4"]);
});

test("an order that is repeated concurrently and later is executed once", async () => {
    const site = new GateSite();
    await site.gate.start();
    const both = await Promise.all([site.gate.apply(order("o1", 1)), site.gate.apply(order("o1", 1))]);
    assert.ok(both.every(outcome => outcome.isOk));
    await site.gate.apply(order("o2", 2));
    assert.equal(await codeOf(site.gate.apply(order("o1", 1))), undefined, "a repeat gets its first result");
    assert.deepEqual(site.applied, ["o1", "o2"]);
});

test("an order that waits for another is checked again before it runs", async () => {
    const site = new GateSite();
    await site.gate.start();
    let release: (() => void) | undefined;
    site.answer = () =>
        new Promise(resolve => {
            release = () => resolve(Result.ok<void, never>(undefined));
        });
    const first = site.gate.apply(order("o1", 1));
    const second = site.gate.apply(order("o2", 1));
    await site.clock.advanceAsync(1, 1);
    assert.ok(site.gate.noteFence(2).isOk);
    release?.();
    assert.equal(await codeOf(first), undefined);
    assert.equal(await codeOf(second), stale);
    assert.deepEqual(site.applied, ["o1"]);
});

test("a repeat of an order with an unknown outcome is sent to the engine again under its id", async () => {
    const site = new GateSite();
    await site.gate.start();
    site.answer = () => Promise.reject(new Error("socket hang up"));
    assert.equal(await codeOf(site.gate.apply(order("o1", 1))), requestCodes.engineFailed.number);
    site.answer = () => Promise.resolve(Result.ok<void, never>(undefined));
    assert.equal(await codeOf(site.gate.apply(order("o1", 1))), undefined);
    assert.deepEqual(site.applied, ["o1", "o1"]);
    assert.equal(site.history.length, 1);
});

test("orders that would remove what running requests use are refused, and a refusal is final", async () => {
    const site = new GateSite();
    await site.gate.start();
    const unload = (id: string, version: string): Order => (
        { id, fence: 1, action: { kind: "unload", model: "demo", version } }
    );
    const setRole = (id: string, role: "prefill" | "idle"): Order => ({
        id,
        fence: 1,
        action: { kind: "setRole", role },
    });
    site.inUse = [{ model: "demo", version: "v1" }];
    const inUse = platformCodes.inUse.number;
    assert.equal(await codeOf(site.gate.apply(unload("o1", "v1"))), inUse);
    assert.equal(await codeOf(site.gate.apply(setRole("o2", "idle"))), inUse);
    assert.equal(await codeOf(site.gate.apply(setRole("o3", "prefill"))), inUse);
    assert.equal(await codeOf(site.gate.apply(unload("o4", "v2"))), undefined);
    assert.equal(await codeOf(site.gate.apply(order("o5", 1))), undefined);
    site.inUse = [];
    assert.equal(await codeOf(site.gate.apply(unload("o1", "v1"))), inUse, "a late duplicate changes nothing");
    assert.equal(await codeOf(site.gate.apply(unload("o6", "v1"))), undefined);
    assert.deepEqual(site.applied, ["o4", "o5", "o6"]);
    assert.deepEqual(site.history.map(event => event.event === "order.applied" ? event.order : ""), site.applied);
});

test("fences never go back over restarts, two holders and an unsteady store", async () => {
    const step = fc.record({
        kind: fc.constantFrom("order", "restart", "store", "time", "note"),
        fence: fc.integer({ min: 1, max: 6 }),
    });
    await fc.assert(
        fc.asyncProperty(fc.array(step, { maxLength: 40 }), async steps => {
            const site = new GateSite();
            for (const [index, { kind, fence }] of steps.entries()) {
                if (kind === "order") {
                    // A holder records its fence in the store before it sends an order.
                    site.storeFence = Math.max(site.storeFence, fence);
                    await site.gate.apply(order(`o${index}`, fence));
                }
                else if (kind === "restart") {
                    site.restart();
                    void site.gate.start();
                }
                else if (kind === "store") {
                    site.storeDown = !site.storeDown;
                }
                else if (kind === "note") {
                    site.gate.noteFence(fence);
                }
                await site.clock.advanceAsync(kind === "time" ? 1100 : 1, 100);
            }
            const fences = site.history.map(event => event.event === "order.applied" ? event.fence : 0);
            assert.deepEqual(fences, [...fences].sort((a, b) => a - b));
            assert.equal(new Set(site.applied).size, site.applied.length);
        }),
        { seed: 5, numRuns: 200 },
    );
});
