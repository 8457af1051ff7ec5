import { findMisread } from "@waxwingspar/connections/testing";
import { type CallMessage } from "@waxwingspar/transport";
import { SystemClock } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { type Dispatcher } from "undici";
import { ServiceCall } from "./ServiceCall.js";
import { createServicePool } from "./ServiceProxy.js";

const message: CallMessage = {
    type: "call",
    request: "r",
    service: "s",
    organisation: "o",
    priority: 5,
    timeLeft: 5_000,
    method: "GET",
    path: "/",
    headers: {},
    body: new Uint8Array(),
};

async function call(dispatcher: Dispatcher): Promise<{ hasHead: boolean; isWhole: boolean; }> {
    const seen = { hasHead: false, isWhole: false };
    const sink = {
        queuedBytes: 0,
        ready: true,
        onReady: () => undefined,
        item: () => void (seen.hasHead = true),
        end: () => void (seen.isWhole = true),
        failed: () => undefined,
    };
    const limits = { timeout: 5_000, piece: 1_000, highWater: 1_000 };
    const service = new ServiceCall({
        message,
        dispatcher,
        root: "",
        clock: new SystemClock(),
        sink,
        sent: () => undefined,
        ...limits,
    });
    await service.run();
    return seen;
}

// Guards against a service's answer that stops in the middle and is passed on as whole.
test("an answer of a service that stops anywhere is never whole", async () => {
    const pools = new Map<number, Dispatcher>();
    const read = (port: number) => {
        const pool = pools.get(port) ?? createServicePool(`http://127.0.0.1:${port}`);
        pools.set(port, pool);
        return call(pool);
    };
    assert.deepEqual(await findMisread({ read }), []);
    await Promise.all(Array.from(pools.values(), pool => pool.destroy()));
});
