import { MemoryBudget } from "@waxwingspar/connections";
import { ManualClock } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { connect } from "node:net";
import { test } from "node:test";
import { CallerServer, type ReceivedRequest } from "./CallerServer.js";

async function until(holds: () => boolean): Promise<void> {
    while (!holds()) {
        await new Promise(resolve => setImmediate(resolve));
    }
}

test("silent connections and requests without their end are no load, and turn nobody away", async context => {
    const clock = new ManualClock();
    const running: ReceivedRequest[] = [];
    const server = new CallerServer({
        clock,
        budget: new MemoryBudget({ clock, maxBytes: 1e9 }),
        maxConnections: 100,
        loop: { inputAge: 0 },
        address: { host: "127.0.0.1", port: 0 },
        onConnection: () => undefined,
        onRequest: request => running.push(request),
        onRefused: () => undefined,
        onGuarded: () => undefined,
        maxBodyBytes: () => 1_000,
    });
    await server.start();
    context.after(() => {
        server.close();
        server.closeAll();
    });
    const open = (text = "") => {
        const socket = connect(server.address.port, "127.0.0.1");
        socket.on("error", () => undefined);
        context.after(() => socket.destroy());
        socket.write(text);
    };
    open();
    open();
    await until(() => server.load === 2);
    clock.advance(1_000);
    assert.equal(server.load, 0);
    open("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nx");
    await until(() => server.openRequests === 1);
    assert.equal(server.load, 0);
    open("POST /b HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx");
    await until(() => running.length === 1);
    assert.equal(server.load, 1);
    running[0]?.response.end();
    await until(() => server.load === 0);
});
