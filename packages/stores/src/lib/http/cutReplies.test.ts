import { findMisread } from "@waxwingspar/connections/testing";
import assert from "node:assert/strict";
import { test } from "node:test";
import { PlatformConnection } from "./PlatformConnection.js";

// Guards against an answer of the platform that stops in the middle and is taken for whole.
test("an answer of the platform that stops anywhere is never whole", async () => {
    const connections = new Map<number, PlatformConnection>();
    const read = async (port: number) => {
        const origin = `http://127.0.0.1:${port}`;
        const connection = connections.get(port) ?? new PlatformConnection({ origin, connections: 1 });
        connections.set(port, connection);
        const outcome = await connection.call("/objects/put", { name: "x", data: "" });
        return { hasHead: outcome.isOk, isWhole: outcome.isOk };
    };
    assert.deepEqual(await findMisread({ read, needsContent: true }), []);
    await Promise.all(Array.from(connections.values(), connection => connection.close()));
});
