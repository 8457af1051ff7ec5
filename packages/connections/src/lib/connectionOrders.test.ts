import { SystemClock } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { once } from "node:events";
import { type IncomingMessage, type ServerResponse } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { setTimeout as pause } from "node:timers/promises";
import { GuardedServer, type GuardedServerOptions } from "./GuardedServer.js";
import { MemoryBudget } from "./MemoryBudget.js";
import { readBody } from "./readBody.js";

/** Starts a server whose requests are answered after some milliseconds. @returns What has run on it, and its parts. */
async function startServer(context: TestContext, options: Partial<GuardedServerOptions> = {}) {
    const clock = new SystemClock();
    const ran: string[] = [];
    const answer = (incoming: IncomingMessage, response: ServerResponse) => {
        ran.push(incoming.url ?? "");
        setTimeout(() => response.end(`answer to ${incoming.url};`), 100);
    };
    const server = new GuardedServer({
        clock,
        budget: new MemoryBudget({ clock, maxBytes: 1e9 }),
        maxConnections: 100,
        onRequest: answer,
        ...options,
    });
    server.http.listen(0, "127.0.0.1");
    await once(server.http, "listening");
    context.after(() => {
        server.stopListening();
        server.http.closeAllConnections();
    });
    const open = (text = "") => {
        const socket = connect((server.http.address() as AddressInfo).port, "127.0.0.1");
        const received = { text: "" };
        socket.on("error", () => undefined);
        socket.on("data", data => received.text += data.toString());
        socket.write(text);
        context.after(() => socket.destroy());
        return { socket, received };
    };
    return { server, ran, answer, open };
}

async function until(holds: () => boolean): Promise<void> {
    for (const end = performance.now() + 5_000; !holds();) {
        assert.ok(performance.now() < end, `expected ${holds.toString()}`);
        await new Promise(resolve => setImmediate(resolve));
    }
}

/** Waits until a connection has closed, or some seconds. */
function closeOf(socket: Socket): Promise<unknown> {
    return Promise.race([once(socket, "close"), pause(2_000)]);
}

function get(path: string, more = ""): string {
    return `GET ${path} HTTP/1.1\r\nHost: a\r\n${more}\r\n`;
}

function post(path: string, length: number): string {
    return `POST ${path} HTTP/1.1\r\nHost: a\r\nContent-Length: ${length}\r\n\r\n`;
}

// Guards against requests that run though an answer before them closes their connection.
test("nothing runs behind an answer that closes the connection, whoever decides that it does", async context => {
    const plays = {
        "an answer of unknown length to HTTP/1.0": "GET /0 HTTP/1.0\r\nConnection: keep-alive\r\n\r\n",
        "a header of the application": get("/close"),
        "a refusal of Node.js": `${get("/0")}GET /x HTTP/1.1\r\n\r\n`,
    };
    const failed: string[] = [];
    for (const [name, first] of Object.entries(plays)) {
        for (const maxRunning of [1, 4]) {
            const ran: string[] = [];
            const { open } = await startServer(context, {
                maxRunning,
                onRequest: (incoming, response) => {
                    ran.push(incoming.url ?? "");
                    if (incoming.url === "/close") {
                        response.setHeader("Connection", "close");
                    }
                    response.write("first");
                    setTimeout(() => response.end(`answer to ${incoming.url};`), 50);
                },
            });
            const { socket, received } = open(first + get("/behind"));
            await closeOf(socket);
            if (ran.includes("/behind") && !received.text.includes("/behind")) {
                failed.push(`${name}, ${maxRunning} at a time`);
            }
        }
    }
    assert.deepEqual(failed, []);
});

// Guards against requests that run after their refusal, because the rest of their body is read behind it.
test("a request that was refused before its body had come is not passed on when the rest comes", async context => {
    const bodies: unknown[] = [];
    const { open } = await startServer(context, {
        maxRunning: 4,
        server: { headersTimeout: 100, requestTimeout: 100, connectionsCheckingInterval: 20 },
        onRequest: (incoming, response) =>
            readBody(incoming, {
                maxBytes: 1_000,
                whenOver: callback => response.once("close", callback),
                onBody: body => {
                    if (body === undefined) {
                        setTimeout(() => response.end("whole"), 500);
                    }
                    else {
                        bodies.push([response.headersSent, response.statusCode]);
                    }
                },
                onRefused: () => undefined,
            }),
    });
    const { socket, received } = open(`${get("/0")}${post("/half", 4)}ab`);
    await pause(250);
    socket.write("cd");
    await closeOf(socket);
    assert.match(received.text, /200 OK[^]*HTTP\/1\.1 408/);
    assert.deepEqual(bodies, []);
});

// Guards against memory that is counted as free while the request that holds it runs on.
test("what evicted connections hold for requests that run on stays counted", async context => {
    const maxBytes = 300_000;
    const bodyBytes = 60_000;
    const budget = new MemoryBudget({ clock: new SystemClock(), maxBytes });
    let held = 0;
    const { open } = await startServer(context, {
        budget,
        onRequest: (incoming, response) =>
            readBody(incoming, {
                maxBytes: 100_000,
                whenOver: callback => response.once("close", callback),
                onBody: body => {
                    held += body?.length ?? 0;
                    response.once("close", () => held -= body?.length ?? 0);
                },
                onRefused: () => response.destroy(),
            }),
    });
    let most = 0;
    for (let client = 0; client < 20; client++) {
        open(`${post("/whole", bodyBytes)}${"x".repeat(bodyBytes)}${post("/half", 10)}a`);
        await pause(20);
        most = Math.max(most, held);
    }
    assert.ok(most <= maxBytes, `${most} bytes of bodies are held, ${budget.used} of ${maxBytes} are counted`);
});

// Guards against requests that run and are cut because of what follows them on their connection.
test("a request that was read whole is answered before a CONNECT or a request that Node.js refuses", async context => {
    const plays = {
        connect: "CONNECT a:1 HTTP/1.1\r\nHost: a:1\r\n\r\n",
        expect: get("/x", "Expect: a\r\nConnection: close\r\n"),
        host: "GET /x HTTP/1.1\r\n\r\n",
    };
    const answered: Record<string, number | undefined> = {};
    for (const [name, rest] of Object.entries(plays)) {
        const { open } = await startServer(context);
        const { socket, received } = open(`${get("/0")}${get("/1")}${rest}`);
        await closeOf(socket);
        answered[name] = received.text.match(/answer to/g)?.length;
    }
    assert.deepEqual(answered, { connect: 2, expect: 2, host: 2 });
});

// Guards against requests that run and are cut because their connection is taken for that of an idle client.
test("a connection that makes room for a new one has its whole requests answered", async context => {
    const { ran, open } = await startServer(context, { maxConnections: 1 });
    const { socket, received } = open(`${get("/0")}${post("/half", 10)}ab`);
    await until(() => ran.length === 1);
    open(get("/other"));
    await closeOf(socket);
    assert.match(received.text, /answer to \/0/);
});

// Guards against requests that are dropped in the buffer of a paused connection.
test("a request that came in two pieces behind a running one is answered at the end of a stop", async context => {
    const responses: ServerResponse[] = [];
    const { server, open } = await startServer(context, {
        onRequest: (_, response) => {
            responses.push(response);
            response.write("begun;");
        },
    });
    const { socket, received } = open(get("/0"));
    await until(() => received.text.includes("begun;"));
    const text = get("/1");
    socket.write(text.slice(0, 10));
    await pause(50);
    socket.write(text.slice(10));
    await pause(50);
    server.endConnections();
    server.finishReading();
    responses.forEach(response => response.end());
    await closeOf(socket);
    assert.equal(received.text.match(/HTTP\/1\.1 200/g)?.length, 2);
});

// Guards against requests that were received before the process decided to close their connection.
test("a request that came while the process was late to look is answered though idle connections are closed", async context => {
    const responses: ServerResponse[] = [];
    const { server, open } = await startServer(context, {
        onRequest: (incoming, response) => {
            if (incoming.url === "/0") {
                responses.push(response);
                response.write("begun;");
                return;
            }
            if (incoming.url === "/trigger") {
                responses[0]?.end("done;");
            }
            response.end(`answer to ${incoming.url};`);
        },
    });
    const { socket, received } = open(get("/0"));
    const trigger = open();
    await until(() => received.text.includes("begun;"));
    server.endConnections();
    server.closeIdle();
    await pause(20);
    trigger.socket.write(get("/trigger"));
    // The client has its answer; its next request lies in the operating system for 300 ms of the same turn.
    responses[0]?.once("close", () => {
        socket.write(get("/1"));
        for (const end = performance.now() + 300; performance.now() < end;) {
            // The event loop does not turn.
        }
    });
    await closeOf(socket);
    assert.match(received.text, /answer to \/1/);
});
