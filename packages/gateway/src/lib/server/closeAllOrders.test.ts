import { MemoryBudget } from "@waxwingspar/connections";
import { SystemClock } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { type ServerResponse } from "node:http";
import { connect, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { setTimeout as pause } from "node:timers/promises";
import { CallerServer } from "./CallerServer.js";

/** Starts a server that runs a stream at /0 and refuses all other requests. @returns It, and what it did. */
async function startServer(context: TestContext) {
    const clock = new SystemClock();
    const streams: ServerResponse[] = [];
    const received: string[] = [];
    const faults: string[] = [];
    const refuse = (response: ServerResponse) => {
        if (response.headersSent) {
            faults.push(`${response.req.url} is answered twice`);
            return;
        }
        response.writeHead(503, { "Content-Length": 0 });
        response.end();
    };
    const server = new CallerServer({
        clock,
        budget: new MemoryBudget({ clock, maxBytes: 1e9 }),
        maxConnections: 1_000,
        loop: { inputAge: 0 },
        address: { host: "127.0.0.1", port: 0 },
        onConnection: () => undefined,
        onRequest: ({ incoming: { url = "" }, response }) => {
            received.push(url);
            if (url === "/0") {
                streams.push(response);
                response.write("begun;");
            }
            else {
                refuse(response);
            }
        },
        onClosing: () => streams.forEach(response => response.end("end")),
        onUnfinished: refuse,
        onRefused: refuse,
        onGuarded: () => undefined,
        maxBodyBytes: () => 1_000_000,
    });
    await server.start();
    context.after(() => {
        server.close();
        void server.closeAll();
    });
    const open = (text: string): { socket: Socket; text: string; } => {
        const socket = connect(server.address.port, "127.0.0.1");
        const client = { socket, text: "" };
        socket.on("error", () => undefined);
        socket.on("data", data => client.text += data.toString());
        socket.write(text);
        context.after(() => socket.destroy());
        return client;
    };
    return { server, streams, received, faults, open };
}

const get = (path: string) => `GET ${path} HTTP/1.1\r\nHost: a\r\n\r\n`;

// Guards against a second answer to a request that was refused, which Node.js throws out of the parser.
test("a request that was refused half read at the end of a stop is not passed on when its rest comes", async context => {
    const { server, streams, received, faults, open } = await startServer(context);
    const client = open(`${get("/0")}POST /half HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nab`);
    while (streams.length === 0) {
        await pause(5);
    }
    client.socket.pause();
    streams[0]!.write(Buffer.alloc(20_000_000));
    server.stopKeepingConnections();
    server.close();
    const closed = server.closeAll();
    await pause(30);
    client.socket.write("cd");
    await closed;
    assert.deepEqual([received, faults], [["/0"], []]);
});

// Guards against requests that are dropped because Node.js had paused their connection for a client that reads slowly.
test("requests sent ahead by a client that reads slowly are answered at the end of a stop", async context => {
    const { server, streams, open } = await startServer(context);
    const ahead = Array.from({ length: 200 }, () => get("/x")).join("");
    const client = open(get("/0") + ahead);
    while (streams.length === 0) {
        await pause(5);
    }
    client.socket.pause();
    streams[0]!.write(Buffer.alloc(20_000_000));
    await pause(50);
    server.stopKeepingConnections();
    server.close();
    const closed = server.closeAll();
    client.socket.resume();
    await closed;
    await pause(100);
    assert.equal(client.text.match(/ 503 /g)?.length, 200);
});
