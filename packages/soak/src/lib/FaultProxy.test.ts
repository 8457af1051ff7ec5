import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Server, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { FaultProxy } from "./FaultProxy.js";

/** Starts a server that echoes, and a proxy before it. */
async function startEcho(context: TestContext): Promise<FaultProxy> {
    const sockets = new Set<Socket>();
    const server: Server = createServer(socket => {
        sockets.add(socket);
        socket.on("error", () => undefined);
        socket.pipe(socket);
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const proxy = new FaultProxy({ server: `127.0.0.1:${(server.address() as AddressInfo).port}` });
    await proxy.start();
    context.after(() => {
        proxy.stop();
        server.close();
        sockets.forEach(socket => socket.destroy());
    });
    return proxy;
}

function connectTo(context: TestContext, { address }: FaultProxy): Socket {
    const socket = connect(Number(address.split(":")[1]), "127.0.0.1");
    socket.on("error", () => undefined);
    context.after(() => socket.destroy());
    return socket;
}

async function open(context: TestContext, proxy: FaultProxy): Promise<Socket> {
    const socket = connectTo(context, proxy);
    await once(socket, "connect");
    return socket;
}

/** Waits for the end of a connection, also by a reset. */
function waitForClose(socket: Socket): Promise<unknown> {
    return new Promise(resolve => socket.once("close", resolve));
}

async function read(socket: Socket): Promise<string> {
    const [bytes] = await once(socket, "data") as [Buffer];
    return bytes.toString();
}

test("bytes pass in both directions", async context => {
    const socket = await open(context, await startEcho(context));
    socket.write("a");
    assert.equal(await read(socket), "a");
});

test("bytes of a silent direction arrive, in order, when the fault ends", async context => {
    for (const direction of ["toServer", "toClient"] as const) {
        const proxy = await startEcho(context);
        const socket = await open(context, proxy);
        proxy.setFault({ kind: "silent", directions: [direction] });
        let received = "";
        socket.on("data", (bytes: Buffer) => received += bytes.toString());
        socket.write("a");
        socket.write("b");
        await new Promise(resolve => setTimeout(resolve, 30));
        assert.equal(received, "");
        proxy.setFault(undefined);
        while (received.length < 2) {
            await once(socket, "data");
        }
        assert.equal(received, "ab");
    }
});

test("a shorter delay does not let later bytes overtake", async context => {
    const proxy = await startEcho(context);
    const socket = await open(context, proxy);
    let received = "";
    socket.on("data", (bytes: Buffer) => received += bytes.toString());
    const letters = "abcdefghijklmnopqrstuvwxyz";
    for (const [index, letter] of [...letters].entries()) {
        proxy.setFault({ kind: "delayed", delay: 20 - index / 2 });
        socket.write(letter);
        await new Promise(resolve => setTimeout(resolve, 1));
    }
    proxy.setFault(undefined);
    while (received.length < letters.length) {
        await once(socket, "data");
    }
    assert.equal(received, letters);
});

test("a reset ends open connections and new ones, until it is over", async context => {
    const proxy = await startEcho(context);
    const socket = await open(context, proxy);
    const closed = waitForClose(socket);
    proxy.setFault({ kind: "reset" });
    await closed;
    const next = connectTo(context, proxy);
    await waitForClose(next);
    proxy.setFault(undefined);
    const last = await open(context, proxy);
    last.write("c");
    assert.equal(await read(last), "c");
});
