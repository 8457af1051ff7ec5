import { findMisread } from "@waxwingspar/connections/testing";
import { type Clock, SystemClock } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { OperatorClient } from "./OperatorClient.js";

/** Lets no back-off take time. */
const system = new SystemClock();
const clock: Clock = {
    now: () => system.now(),
    date: () => system.date(),
    schedule: callback => system.schedule(callback, 0),
};

// Guards against an answer of the API that stops in the middle and is shown as whole.
test("an answer of the API that stops anywhere is never whole", async () => {
    const clients = new Map<number, OperatorClient>();
    const connect = (port: number) => {
        const client = clients.get(port) ?? new OperatorClient({ server: `http://127.0.0.1:${port}`, clock });
        clients.set(port, client);
        return client;
    };
    const readers = {
        send: async (port: number) => (await connect(port).send({ method: "GET", path: "x" })).isOk,
        lines: async (port: number) => {
            for await (const line of connect(port).lines("x")) {
                if (line.isErr) {
                    return false;
                }
            }
            return true;
        },
    };
    for (const [name, call] of Object.entries(readers)) {
        const read = async (port: number) => {
            const isWhole = await call(port);
            return { hasHead: isWhole, isWhole };
        };
        // A call is made four times if it fails.
        const step = name === "send" ? 5 : 1;
        assert.deepEqual(await findMisread({ read, needsContent: true, step }), [], name);
    }
});
