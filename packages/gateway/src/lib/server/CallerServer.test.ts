import { MemoryBudget } from "@waxwingspar/connections";
import { ManualClock } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { once } from "node:events";
import { connect } from "node:net";
import { test, type TestContext } from "node:test";
import { CallerServer, type ReceivedRequest } from "./CallerServer.js";

/** Turns of the event loop after which a condition is taken not to become true. */
const maxTurns = 20_000;

async function until(holds: () => boolean): Promise<void> {
    for (let turn = 0; !holds(); turn++) {
        assert.ok(turn < maxTurns, `expected ${holds.toString()}`);
        await new Promise(resolve => setImmediate(resolve));
    }
}

/** Starts a server. @returns It, the requests that it has received, and a function that opens a connection to it. */
async function startServer(context: TestContext) {
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
        void server.closeAll();
    });
    const open = (text = "") => {
        const socket = connect(server.address.port, "127.0.0.1");
        socket.on("error", () => undefined);
        context.after(() => socket.destroy());
        socket.write(text);
        return socket;
    };
    return { clock, server, running, open };
}

test("silent connections and requests without their end are no load, and turn nobody away", async context => {
    const { clock, server, running, open } = await startServer(context);
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

// Guards against requests that are read and dropped because a stop changed what an answer was about to say, not what it said.
test("a connection whose answer began before a planned stop is read until an answer closes it", async context => {
    const { server, running, open } = await startServer(context);
    const socket = open("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n");
    let received = "";
    socket.on("data", data => received += data.toString());
    await until(() => running.length === 1);
    running[0]!.response.write("first");
    server.stopKeepingConnections();
    running[0]!.response.end("last");
    await until(() => received.endsWith("0\r\n\r\n"));
    assert.match(received, /Connection: keep-alive/);
    socket.write("POST /b HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n");
    await until(() => running.length === 2);
    running[1]!.response.end();
    await once(socket, "close");
    assert.match(received, /Connection: close/);
});
