import { type Order } from "@waxwingspar/engine";
import { failure, ManualClock, type Outcome, platformCodes, requestCodes, transportCodes } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { Result } from "true-myth";
import { Lease } from "../leases/Lease.js";
import { ScriptedStore } from "../testing/ScriptedStore.js";
import { createObserveMethod } from "./createObserveMethod.js";
import { LinkTargetPort } from "./LinkTargetPort.js";
import { LoadPermits } from "./LoadPermits.js";
import { OrderSender } from "./OrderSender.js";

const settle = () => new Promise(resolve => setImmediate(resolve));
const action = { kind: "unload" as const, model: "m", version: "v" };

async function heldLease(store: ScriptedStore, clock: ManualClock, duty = "orders/a", holder = "p"): Promise<Lease> {
    const lease = new Lease({ store, clock, duty, holder, incarnation: "1", duration: 100_000 });
    await lease.poll();
    return lease;
}

async function senderWith(answers: Outcome<void>[]) {
    const clock = new ManualClock(1000);
    const lease = await heldLease(new ScriptedStore(), clock);
    const sent: Order[] = [];
    const sender = new OrderSender({
        clock,
        targets: {
            observe: () => assert.fail(),
            order: async (_target, _incarnation, order) => {
                sent.push(order);
                return answers.shift() ?? Result.ok(undefined);
            },
        },
    });
    const send = async (observedAt = clock.now(), incarnation = "t-1") => {
        sender.send(lease, { target: "t", incarnation, observedAt, action });
        await settle();
    };
    return { clock, lease, sent, send };
}

const err = (code: Parameters<typeof failure>[0]) => Result.err<void, ReturnType<typeof failure>>(failure(code, ""));

test("a repeat after an unknown outcome is the same order", async () => {
    const { sent, send } = await senderWith([err(transportCodes.connectionLost), err(transportCodes.requestTimeout)]);
    await send();
    await send();
    await send();
    assert.equal(sent.length, 3);
    assert.equal(new Set(sent.map(({ id }) => id)).size, 1);
});

test("after a definite failure a new order is sent once the retry delay has passed", async () => {
    const { clock, sent, send } = await senderWith([err(requestCodes.engineFailed)]);
    await send();
    await send();
    assert.equal(sent.length, 1);
    clock.advance(5_000);
    await send();
    assert.equal(new Set(sent.map(({ id }) => id)).size, 2);
});

test("after a refusal for a stale fence a new order is sent if the lease is still held", async () => {
    const { clock, sent, send } = await senderWith([err(platformCodes.staleFence)]);
    await send();
    clock.advance(5_000);
    await send();
    assert.equal(new Set(sent.map(({ id }) => id)).size, 2);
});

test("an unload refused because the version is in use is sent again after a second, as a new order", async () => {
    const refusal = Result.err<void, ReturnType<typeof failure>>(
        failure(platformCodes.inUse, "in use", { retryAfter: 1000 }),
    );
    const { clock, sent, send } = await senderWith([refusal, refusal]);
    await send();
    clock.advance(999);
    await send();
    assert.equal(sent.length, 1);
    clock.advance(1);
    await send();
    clock.advance(1000);
    await send();
    await send();
    assert.equal(sent.length, 3, "the third order was applied");
    assert.equal(new Set(sent.map(({ id }) => id)).size, 3);
});

test("an order that took effect is not sent again, unless a later report shows that it was undone", async () => {
    const { clock, sent, send } = await senderWith([]);
    const before = clock.now();
    clock.advance(10);
    await send(before);
    await send(before);
    assert.equal(sent.length, 1);
    clock.advance(10);
    await send();
    assert.equal(sent.length, 2);
    assert.notEqual(sent[0]!.id, sent[1]!.id);
    await send(clock.now(), "t-2");
    assert.equal(new Set(sent.map(({ id }) => id)).size, 3);
});

test("nothing is sent without the lease", async () => {
    const { lease, sent, send } = await senderWith([]);
    await lease.release();
    await send();
    assert.deepEqual(sent, []);
});

test("an order never reaches another start of the agent", async () => {
    let requests = 0;
    const link = { peer: { incarnation: "t-2" }, request: async () => Result.ok(requests++) };
    const pool = { connect: async () => Result.ok(link) };
    const targets = new LinkTargetPort({ pool: pool as never, addressOf: () => ({ host: "127.0.0.1", port: 1 }) });
    const outcome = await targets.order("t", "t-1", { id: "1", fence: 1, action });
    assert.equal(outcome.isErr && outcome.error.code, transportCodes.notConnected);
    assert.equal((await targets.order("t", "t-2", { id: "1", fence: 1, action })).isOk, true);
    assert.equal(requests, 1);
});

test("a report request stores its fence first, and one with an older fence is refused", async () => {
    const noted: number[] = [];
    const info = { slots: 1, held: [], memory: 1, freeMemory: 1, role: "idle" as const, checksFence: false };
    const method = createObserveMethod({
        engine: { info: async () => Result.ok(info) },
        noteFence: fence => {
            noted.push(fence);
            return fence < 5 ? err(platformCodes.staleFence) : Result.ok(undefined);
        },
        inUse: () => [],
    });
    const old = await method({ fence: 4 }, undefined as never);
    assert.equal(old.isErr && old.error.code, platformCodes.staleFence);
    assert.deepEqual(await method({ fence: 5 }, undefined as never), Result.ok({ info, inUse: [] }));
    assert.equal((await method({}, undefined as never)).isErr, true);
    assert.deepEqual(noted, [4, 5]);
});

test("permits limit loads over all duties and reserve some for urgent loads", async () => {
    const clock = new ManualClock();
    const store = new ScriptedStore();
    const [a, b] = [await heldLease(store, clock, "orders/a"), await heldLease(store, clock, "orders/b", "q")];
    const permits = () => new LoadPermits({ store, limit: 8 });
    const loads = (name: string, count: number, urgent = false) =>
        Array.from({ length: count }, (_, index) => ({ id: `${name}${index}`, urgent, fits: true }));
    const grant = async (
        lease: Lease,
        wanted: ReturnType<typeof loads>,
    ) => [...(await permits().update(lease, wanted)).unwrapOr(new Set())];
    assert.equal((await grant(a, loads("a", 20))).length, 6);
    assert.deepEqual(await grant(b, loads("b", 20)), []);
    assert.deepEqual(await grant(b, [...loads("b", 20), ...loads("u", 9, true)]), ["u0", "u1"]);
    // The next holder of a duty keeps the permits of its loads; as these end, the other duty gets its fair share.
    assert.equal((await grant(a, loads("a", 20))).length, 6);
    assert.deepEqual(await grant(a, loads("a", 20).slice(4)), ["a4", "a5", "a6"]);
    assert.deepEqual((await grant(b, [...loads("b", 20), ...loads("u", 2, true)])).sort(), ["b0", "u0", "u1"]);
    assert.deepEqual(await grant(a, []), []);
    assert.equal(Object.keys((store.row("loads").value as { duties: object; }).duties).join(), "orders/b");
});
