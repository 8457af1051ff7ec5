import { SystemClock } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, connect, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { GuardedServer, type GuardedServerOptions } from "./GuardedServer.js";
import { MemoryBudget } from "./MemoryBudget.js";

/** Starts a server. @returns It, and a function that opens a connection and collects what it receives. */
async function startServer(context: TestContext, options: Partial<GuardedServerOptions> = {}) {
    const clock = new SystemClock();
    const server = new GuardedServer({
        clock,
        budget: new MemoryBudget({ clock, maxBytes: 1e9 }),
        maxConnections: 100,
        onRequest: (incoming, response) => response.end(`answer to ${incoming.url};`),
        ...options,
    });
    server.http.listen(0, "127.0.0.1");
    await once(server.http, "listening");
    context.after(() => {
        server.stopListening();
        server.http.closeAllConnections();
    });
    const open = () => {
        const socket = connect((server.http.address() as AddressInfo).port, "127.0.0.1");
        socket.on("error", () => undefined);
        context.after(() => socket.destroy());
        return socket;
    };
    return { server, open };
}

/** Collects what a connection receives. */
function collect(socket: Socket): { text: string; } {
    const received = { text: "" };
    socket.on("data", data => received.text += data.toString());
    return received;
}

async function until(holds: () => boolean): Promise<void> {
    while (!holds()) {
        await new Promise(resolve => setImmediate(resolve));
    }
}

function get(path: string): string {
    return `GET ${path} HTTP/1.1\r\nHost: a\r\n\r\n`;
}

// Guards against requests that are cut because Node.js takes a connection for idle whose bytes wait to be parsed.
test("requests that were received are answered whenever idle connections are closed", async context => {
    const requests = 1_000;
    for (const stopAt of [0, 1, 300, 700, requests - 1]) {
        let seen = 0;
        const { server, open } = await startServer(context, {
            onRequest: (incoming, response) => {
                if (seen++ === stopAt) {
                    server.endConnections();
                    server.stopListening();
                    server.closeIdle();
                }
                response.end(`answer to ${incoming.url};`);
            },
        });
        const socket = open();
        const received = collect(socket);
        socket.write(Array.from({ length: requests }, (_, index) => get(`/${index}`)).join(""));
        await once(socket, "close");
        assert.equal(received.text.match(/answer to/g)?.length, requests, `stopped at ${stopAt}`);
        assert.equal(received.text.match(/Connection: close/g)?.length, 1);
    }
});

// Guards against answers that are cut because Node.js takes a connection for idle whose answer waits to be written.
test("an answer that its client reads slowly is written whole though idle connections are closed", async context => {
    const length = 20_000_000;
    const { server, open } = await startServer(context, {
        onRequest: (_, response) => {
            response.writeHead(200, { "Content-Length": length });
            response.end(Buffer.alloc(length));
        },
    });
    const socket = open();
    socket.pause();
    socket.write(get("/"));
    await until(() => server.isBusy);
    server.stopListening();
    server.closeIdle();
    await new Promise(resolve => setTimeout(resolve, 50));
    let bytes = 0;
    socket.on("data", data => bytes += data.length);
    socket.resume();
    await once(socket, "close");
    assert.ok(bytes > length, `${bytes} bytes`);
});

// Guards against requests that are cut because the timer of an idle connection runs before the input that is waiting.
test("a request that came in time is answered though the process was late to look at it", async context => {
    const { open } = await startServer(context, { server: { keepAliveTimeout: 30 } });
    const socket = open();
    const received = collect(socket);
    socket.write(get("/first"));
    await until(() => received.text.includes("/first;"));
    socket.write(get("/second"));
    // Some versions of Node.js add a second to the timeout.
    const lateUntil = performance.now() + 1_500;
    while (performance.now() < lateUntil) {
        // The event loop does not turn.
    }
    await once(socket, "close");
    assert.match(received.text, /second;$/m);
});
