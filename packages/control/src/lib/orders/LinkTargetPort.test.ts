import { FakeEngine, type Order, orderSchema } from "@waxwingspar/engine";
import { type Hello, LinkServer, TcpLinkPool } from "@waxwingspar/transport";
import { ManualClock, platformCodes, transportCodes } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { Result } from "true-myth";
import { createObserveMethod } from "./createObserveMethod.js";
import { LinkTargetPort, observeMethodName, orderMethodName } from "./LinkTargetPort.js";

const credentials = { insecure: true } as const;

function hello(process: string, incarnation: string): Hello {
    return { type: "hello", protocol: 1, process, role: "agent", incarnation, dataCentre: "a" };
}

async function startAgent(incarnation: string, engine: FakeEngine, seen: Order[]) {
    const methods = {
        [observeMethodName]: createObserveMethod({
            engine,
            noteFence: fence =>
                fence < 3 ? Result.err({ code: platformCodes.staleFence, message: "" }) : Result.ok(undefined),
            inUse: () => [{ model: "m", version: "v" }],
        }),
        [orderMethodName]: async (params: unknown) => {
            const order = orderSchema.parse(params);
            seen.push(order);
            return engine.order(order);
        },
    };
    const server = new LinkServer({ hello: hello("t", incarnation), credentials, methods });
    const address = (await server.listen()).unwrapOrElse(reason => assert.fail(reason.message));
    return { server, address };
}

test("reports and orders are sent over TCP, and an order only to the incarnation it names", async () => {
    const seen: Order[] = [];
    const engine = new FakeEngine({ clock: new ManualClock(), memory: 10 });
    const { server, address } = await startAgent("t-1", engine, seen);
    const pool = new TcpLinkPool({ hello: hello("p", "p-1"), credentials });
    const targets = new LinkTargetPort({ pool, addressOf: target => target === "t" ? address : undefined });
    const report = (await targets.observe("t", 3)).unwrapOrElse(reason => assert.fail(reason.message));
    assert.equal(report.incarnation, "t-1");
    assert.deepEqual(report.inUse, [{ model: "m", version: "v" }]);
    assert.equal(report.info.freeMemory, 10);
    const refused = await targets.observe("t", 2);
    assert.equal(refused.isErr && refused.error.code, platformCodes.staleFence);
    const order: Order = { id: "1", fence: 3, action: { kind: "setRole", role: "idle" } };
    assert.ok((await targets.order("t", "t-1", order)).isOk);
    const wrongStart = await targets.order("t", "t-0", { ...order, id: "2" });
    assert.equal(wrongStart.isErr && wrongStart.error.code, transportCodes.notConnected);
    const undeclared = await targets.observe("u", 3);
    assert.equal(undeclared.isErr && undeclared.error.code, transportCodes.notConnected);
    assert.deepEqual(seen, [order]);
    pool.close();
    await server.close();
});
