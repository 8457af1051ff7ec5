import { ManualClock, SystemClock } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { once } from "node:events";
import { type ServerResponse } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { GuardedServer, type GuardedServerOptions } from "./GuardedServer.js";
import { MemoryBudget } from "./MemoryBudget.js";
import { readBody } from "./readBody.js";

/** Starts a server. @returns It, and a function that opens a connection and collects what it receives. */
async function startServer(context: TestContext, options: Partial<GuardedServerOptions> = {}) {
    const clock = options.clock ?? new SystemClock();
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

// Guards against requests that run and are cut because of what follows them on their connection.
test("requests that were read whole are answered whatever follows them, and nothing behind it runs", async context => {
    const post = "POST /half HTTP/1.1\r\nHost: a\r\n";
    const rests = [
        { rest: "nonsense\r\n\r\n", last: [undefined, 400] },
        { rest: `GET / HTTP/1.1\r\nX: ${"x".repeat(20_000)}`, last: [undefined, 431] },
        { rest: `${post}Transfer-Encoding: chunked\r\n\r\nnonsense`, last: [400] },
        { rest: `${post}Content-Length: 10\r\n\r\nab`, last: [408] },
        { rest: `${post}Content-Length: 10`, last: [undefined, 408] },
    ];
    for (const { rest, last } of rests) {
        for (const whole of [1, 3]) {
            for (const maxRunning of [1, 4]) {
                const server = await startServer(context, {
                    maxRunning,
                    server: { headersTimeout: 100, requestTimeout: 100, connectionsCheckingInterval: 20 },
                    onRequest: (incoming, response) => {
                        if (incoming.url !== "/half") {
                            setTimeout(() => response.end(`answer to ${incoming.url};`), 250);
                        }
                    },
                });
                const socket = server.open();
                const received = collect(socket);
                socket.write(Array.from({ length: whole }, (_, index) => get(`/${index}`)).join(""));
                socket.write(rest);
                await once(socket, "close");
                const statuses = [...received.text.matchAll(/HTTP\/1.1 (\d+)/g)].map(([, status]) => Number(status));
                const play = `${rest.slice(0, 60)} behind ${whole}, ${maxRunning} at a time: ${received.text}`;
                assert.deepEqual(statuses.slice(0, whole), Array.from({ length: whole }, () => 200), play);
                assert.ok(statuses.length <= whole + 1 && last.includes(statuses[whole]), play);
                assert.equal(received.text.match(/Connection: close/g)?.length, 1, play);
            }
        }
    }
});

test("a connection that makes room for others has its whole requests answered, and its half one refused", async context => {
    const clock = new ManualClock();
    const whole: ServerResponse[] = [];
    const { server, open } = await startServer(context, {
        clock,
        budget: new MemoryBudget({ clock, maxBytes: 190_000 }),
        maxRunning: 4,
        onRequest: (incoming, response) =>
            readBody(incoming, {
                maxBytes: 100_000,
                whenOver: callback => response.once("close", callback),
                onBody: body => body === undefined ? whole.push(response) : response.end(`${body.length};`),
                onRefused: () => response.destroy(),
            }),
    });
    const hoarder = open();
    const received = collect(hoarder);
    const post = (length: number) => `POST / HTTP/1.1\r\nHost: a\r\nContent-Length: ${length}\r\n\r\n`;
    hoarder.write(`${get("/0")}${get("/1")}${post(60_000)}half`);
    await until(() => whole.length === 2);
    clock.advance(1_000);
    const other = open();
    const served = collect(other);
    other.write(`${post(60_000)}${"x".repeat(60_000)}`);
    await until(() => served.text.includes("60000;"));
    assert.ok(server.isBusy);
    whole.forEach(response => response.end("whole;"));
    await once(hoarder, "close");
    const statuses = [...received.text.matchAll(/HTTP\/1.1 (\d+)/g)].map(([, status]) => Number(status));
    assert.deepEqual(statuses, [200, 200, 503]);
});

test("a close with unanswered input is reported, unless the client left or the answer was broken off", async context => {
    const reports: unknown[] = [];
    const responses: ServerResponse[] = [];
    const { server, open } = await startServer(context, {
        onRequest: (_, response) => responses.push(response),
        onUnanswered: ({ requests, bytes, wasTold }) => reports.push({ requests, bytes, wasTold }),
    });
    let closed = 0;
    server.http.on("connection", socket => socket.once("close", () => closed++));
    const [cut, left, brokenOff] = [open(), open(), open()];
    for (const [count, socket] of [cut, left, brokenOff].entries()) {
        socket.write(get("/"));
        await until(() => responses.length === count + 1);
    }
    left.destroy();
    responses[2]?.destroy();
    await Promise.all([once(responses[1]!, "close"), once(brokenOff, "close")]);
    server.http.closeAllConnections();
    await until(() => closed === 3);
    assert.deepEqual(reports, [{ requests: 1, bytes: 0, wasTold: false }]);
});
