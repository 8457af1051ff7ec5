import { ManualClock, SystemClock } from "@waxwingspar/utils";
import fc from "fast-check";
import assert from "node:assert/strict";
import { once } from "node:events";
import { type IncomingMessage, type ServerResponse } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { GuardedServer, type GuardedServerOptions } from "./GuardedServer.js";
import { MemoryBudget } from "./MemoryBudget.js";
import { readBody } from "./readBody.js";

interface TestServerOptions extends Partial<GuardedServerOptions> {
    readonly maxBytes?: number;
}

/** Starts a server. @returns Its port, and the reasons for which it turned clients away. */
async function startServer(context: TestContext, { maxBytes = 1e9, ...options }: TestServerOptions) {
    const clock = options.clock ?? new SystemClock();
    const reasons: string[] = [];
    const budget = new MemoryBudget({ clock, maxBytes });
    const { http } = new GuardedServer({
        clock,
        budget,
        maxConnections: 100,
        onRequest: answerWithBody,
        onGuarded: reason => reasons.push(reason),
        ...options,
    });
    http.listen(0, "127.0.0.1");
    await once(http, "listening");
    context.after(() => {
        http.close();
        http.closeAllConnections();
    });
    return { port: (http.address() as AddressInfo).port, reasons, budget, http };
}

/** Answers with path and body. */
function answerWithBody(incoming: IncomingMessage, response: ServerResponse): void {
    readBody(incoming, {
        maxBytes: 100_000,
        whenOver: callback => response.once("close", callback),
        onBody: body => response.end(`${incoming.url} ${body?.length ?? "none"};`),
        onRefused: reason => response.writeHead(reason === "tooLarge" ? 413 : 503, { "Content-Length": 0 }).end(),
    });
}

function open(context: TestContext, port: number): Socket {
    const socket = connect(port, "127.0.0.1");
    socket.on("error", () => undefined);
    context.after(() => socket.destroy());
    return socket;
}

/** Sends pieces with a turn of the event loop between them. @returns All that came until the connection closed. */
async function send(context: TestContext, port: number, pieces: readonly string[]): Promise<string> {
    const socket = open(context, port);
    let received = "";
    socket.on("data", data => received += data.toString());
    const closed = once(socket, "close");
    for (const piece of pieces) {
        socket.write(piece);
        await new Promise(resolve => setImmediate(resolve));
    }
    await closed;
    return received;
}

function get(path: string, last = false): string {
    return `GET ${path} HTTP/1.1\r\nHost: a\r\n${last ? "Connection: close\r\n" : ""}\r\n`;
}

function post(path: string, body: string): string {
    return `POST ${path} HTTP/1.1\r\nHost: a\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
}

function chunked(path: string, chunks: readonly string[]): string {
    const coded = chunks.map(chunk => `${chunk.length.toString(16)}\r\n${chunk}\r\n`).join("");
    return `POST ${path} HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n${coded}0\r\n\r\n`;
}

async function until(holds: () => boolean): Promise<void> {
    while (!holds()) {
        await new Promise(resolve => setImmediate(resolve));
    }
}

test("requests sent ahead are answered whole and in order, wherever they are cut", async context => {
    const { port } = await startServer(context, {});
    const request = fc.oneof(
        fc.constant((path: string) => get(path)),
        fc.nat({ max: 3_000 }).map(size => (path: string) => post(path, "x".repeat(size))),
        fc.array(fc.nat({ max: 40 }).map(size => "x".repeat(size + 1)), { maxLength: 20 })
            .map(chunks => (path: string) => chunked(path, chunks)),
    );
    const play = fc.tuple(fc.array(request, { maxLength: 60 }), fc.array(fc.nat({ max: 2_000 }), { maxLength: 30 }));
    await fc.assert(
        fc.asyncProperty(play, async ([requests, cuts]) => {
            let text = requests.map((build, index) => build(`/${index}`)).join("") + get("/last", true);
            const pieces: string[] = [];
            for (const cut of cuts) {
                pieces.push(text.slice(0, cut));
                text = text.slice(cut);
            }
            const received = await send(context, port, [...pieces, text]);
            const paths = [...received.matchAll(/(\/\w+) (?:\d+|none);/g)].map(([, path]) => path);
            assert.deepEqual(paths, [...requests.map((_, index) => `/${index}`), "/last"]);
        }),
        { numRuns: 60 },
    );
});

test("one request of a connection runs at a time", async context => {
    const running: ServerResponse[] = [];
    const { port } = await startServer(context, { onRequest: (_, response) => running.push(response) });
    open(context, port).write(get("/a").repeat(200));
    await until(() => running.length === 1);
    for (let ended = 1; ended <= 200; ended++) {
        assert.equal(running.length, ended);
        running[ended - 1]?.end("done");
        await until(() => running.length > ended || ended === 200);
    }
});

test("no refusal is sent behind an earlier request of the connection, whose answer closes it", async context => {
    const running: ServerResponse[] = [];
    const { port, reasons } = await startServer(context, {
        onRequest: (_, response) => running.push(response),
        maxRunning: 8,
    });
    const received = send(context, port, [get("/a"), "nonsense\r\n\r\n"]);
    await until(() => reasons.length === 1);
    running[0]?.end("done");
    assert.deepEqual([running.length, (await received).match(/HTTP.*/g)], [1, ["HTTP/1.1 200 OK"]]);
    assert.match(await received, /Connection: close[^]*done/);
});

test("a malformed request is refused if no other one runs", async context => {
    const { port } = await startServer(context, {});
    assert.match(await send(context, port, ["nonsense\r\n\r\n"]), /^HTTP\/1.1 400 /);
});

test("a body in chunks of one byte, up to the limit, is taken", async context => {
    const { port } = await startServer(context, {});
    const request = chunked("/a", Array.from({ length: 100_000 }, () => "x"));
    const received = await send(context, port, [request, get("/last", true)]);
    assert.match(received, /\/a 100000;/);
});

test("a body over the limit is refused, announced or not, also one that waits for 100 Continue", async context => {
    const { port } = await startServer(context, { maxBodyBytes: () => 100_000 });
    const close = "Connection: close\r\n";
    const announced = `POST /a HTTP/1.1\r\nHost: a\r\n${close}Content-Length: 100001\r\n`;
    assert.match(await send(context, port, [`${announced}\r\n`]), /^HTTP\/1.1 413 /);
    assert.match(await send(context, port, [`${announced}Expect: 100-continue\r\n\r\n`]), /^HTTP\/1.1 413 /);
    const unannounced = `POST /a HTTP/1.1\r\nHost: a\r\n${close}Transfer-Encoding: chunked\r\n\r\n`;
    assert.match(await send(context, port, [unannounced, `186a1\r\n${"x".repeat(100_001)}`]), /^HTTP\/1.1 413 /);
});

test("a client that goes on sending after its refusal is disconnected", async context => {
    const { port } = await startServer(context, { maxBodyBytes: () => 10 });
    const head = "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000000\r\n\r\n";
    const received = await send(context, port, [head, ..."xxxx".split("").map(letter => letter.repeat(1_000_000))]);
    assert.match(received, /^HTTP\/1.1 413 /);
});

test("a body that stands still makes room for others, and its refusal is true", async context => {
    const clock = new ManualClock();
    const { port, budget } = await startServer(context, { clock, maxBytes: 200_000 });
    const hoarder = open(context, port);
    let refusal = "";
    hoarder.on("data", data => refusal += data.toString());
    hoarder.write("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 90000\r\n\r\nx");
    await until(() => budget.used > 90_000);
    clock.advance(1_000);
    const body = "x".repeat(80_000);
    assert.match(await send(context, port, [post("/b", body), get("/last", true)]), /\/b 80000;/);
    await until(() => refusal !== "");
    assert.match(refusal, /^HTTP\/1.1 503 /);
});

test("a client that leaves its answer unread makes room for others, and its answer is dropped", async context => {
    const { port, budget, http } = await startServer(context, {
        maxBytes: 60_000_000,
        onRequest: (incoming, response) =>
            void response.end(Buffer.alloc(incoming.url === "/a" ? 50_000_000 : 30_000_000)),
    });
    const socket = open(context, port);
    socket.pause();
    socket.write(get("/a"));
    await until(() => budget.used > 30_000_000);
    await new Promise(resolve => setTimeout(resolve, 20));
    assert.equal((await send(context, port, [get("/b", true)])).length > 30_000_000, true);
    const connections = await new Promise<number>(resolve => http.getConnections((_, count) => resolve(count)));
    assert.equal(connections, 0);
});

test("a connection for which there is no memory is closed, and those whose requests run are kept", async context => {
    const running: ServerResponse[] = [];
    const { port, reasons } = await startServer(context, {
        maxBytes: 30_000,
        onRequest: (_, response) => running.push(response),
    });
    const first = send(context, port, [get("/a", true)]);
    await until(() => running.length === 1);
    assert.equal(await send(context, port, [get("/b")]), "");
    assert.deepEqual(reasons, ["memory"]);
    running[0]?.end("done");
    assert.match(await first, /done$/);
});

test("a client that takes nothing of its answer is disconnected", async context => {
    const clock = new ManualClock();
    const { port, reasons, budget } = await startServer(context, {
        clock,
        answerTimeout: 5_000,
        onRequest: (_, response) => void response.end(Buffer.alloc(50_000_000)),
    });
    const socket = open(context, port);
    socket.pause();
    socket.write(get("/a"));
    await until(() => budget.used > 1_000_000);
    while (reasons.length === 0) {
        clock.advance(1_000);
        await new Promise(resolve => setImmediate(resolve));
    }
    await until(() => budget.used === 0);
    assert.deepEqual(reasons, ["unread"]);
});

test("the idlest connection makes room for a new one, and none whose request runs", async context => {
    const running: ServerResponse[] = [];
    const clock = new ManualClock();
    const { port, reasons } = await startServer(context, {
        clock,
        maxConnections: 3,
        onRequest: (_, response) => running.push(response),
    });
    const [busy, idlest, idle] = [open(context, port), open(context, port), open(context, port)];
    busy.write(get("/a"));
    await until(() => running.length === 1);
    idle.write("GET /half");
    await new Promise(resolve => setTimeout(resolve, 20));
    clock.advance(1_000);
    const closed = Promise.race([busy, idlest, idle].map(async socket => {
        socket.resume();
        await once(socket, "close");
        return socket;
    }));
    const late = open(context, port);
    late.write(get("/b"));
    await until(() => running.length === 2);
    assert.notEqual(await closed, busy);
    assert.deepEqual(reasons, ["descriptors"]);
});

// Guards against requests that run though their client was told before that the connection closes.
test("no request runs after an answer that closes its connection, however many were sent ahead", async context => {
    const run: string[] = [];
    const { port } = await startServer(context, {
        onRequest: (incoming, response) => {
            run.push(incoming.url ?? "");
            response.shouldKeepAlive = !incoming.url?.endsWith("last");
            answerWithBody(incoming, response);
        },
    });
    for (let last = 0; last < 6; last++) {
        for (const size of [0, 10, 3_000]) {
            const paths = Array.from({ length: 8 }, (_, index) => `/${index}${index === last ? "last" : ""}`);
            const requests = paths.map(path => post(path, "x".repeat(size)));
            for (const pieces of [[requests.join("")], requests, requests.join("").match(/[^]{1,100}/g) ?? []]) {
                run.length = 0;
                await send(context, port, pieces);
                assert.deepEqual(run, paths.slice(0, last + 1));
            }
        }
    }
});

// Guards against a server that hangs because Node.js lists only the first thousand lines of a head.
test("a request with many header lines is read whole, wherever the one stands that frames its body", async context => {
    let lines = 0;
    const { port } = await startServer(context, {
        server: { maxHeaderSize: 65_536 },
        onRequest: (incoming, response) => {
            lines = incoming.rawHeaders.length / 2;
            answerWithBody(incoming, response);
        },
    });
    for (const count of [0, 999, 1_000, 1_001, 1_100, 5_000]) {
        for (const size of [0, 1, 5, 20_000]) {
            const body = "x".repeat(size);
            const framings = [["Content-Length", `${size}`, body], [
                "Transfer-Encoding",
                "chunked",
                `${size === 0 ? "" : `${size.toString(16)}\r\n${body}\r\n`}0\r\n\r\n`,
            ]];
            for (const [name, value, bytes] of framings) {
                const further = Array.from({ length: count }, (_, index) => `X${index}: 1\r\n`).join("");
                const head =
                    `POST /wide HTTP/1.1\r\nHost: a\r\nConnection: close\r\n${further}${name}: ${value}\r\n\r\n`;
                const received = await send(context, port, [`${head}${bytes}`]);
                assert.ok(received.includes(`/wide ${size};`), `${count} lines, ${name}, ${size} bytes: ${received}`);
                assert.equal(lines, count + 3);
            }
        }
    }
});
