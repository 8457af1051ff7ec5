import { findMisread } from "@waxwingspar/connections/testing";
import { SystemClock } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { EngineClient } from "./EngineClient.js";

// Guards against an engine's answer that stops in the middle and is taken for whole.
test("an answer of an engine that stops anywhere is never whole", async () => {
    const clients = new Map<number, EngineClient>();
    const read = async (port: number) => {
        const options = { clock: new SystemClock(), connections: 1, connectTimeout: 1_000 };
        const client = clients.get(port) ?? new EngineClient({ ...options, origin: `http://127.0.0.1:${port}` });
        clients.set(port, client);
        let hasHead = false;
        const outcome = await client.post("/", {}, 5_000, () => hasHead = true);
        return { hasHead, isWhole: outcome.isOk };
    };
    const misread = await findMisread({ read, needsContent: true });
    assert.deepEqual(misread, []);
    await Promise.all(Array.from(clients.values(), client => client.close()));
});
