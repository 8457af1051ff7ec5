import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, type Socket } from "node:net";
import { test } from "node:test";
import { AcceptBursts } from "../server/AcceptBursts.js";
import { exchange, exchangeWith, listen } from "../testing/exchangeWith.js";
import { Exchange, type ExchangeFailure } from "./Exchange.js";

const blockTime = 30;

/** Blocks this thread, so that everything the kernel receives in this time is read in one pass of the event loop. */
function block(): void {
    Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, blockTime);
}

const unframed = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n";

test("a reply without a length is complete when its connection ends in order", async () => {
    const { body, failure } = await exchangeWith(socket => {
        socket.end(`${unframed}whole`);
        setImmediate(block);
    });
    assert.equal(body, "whole");
    assert.equal(failure, undefined);
});

test("a reply without a length is incomplete when a reset arrives with its last bytes", async () => {
    const { failure } = await exchangeWith(socket => {
        socket.write(`${unframed}par`);
        socket.resetAndDestroy();
        setImmediate(block);
    });
    assert.equal(failure?.neverSent, false);
});

test("a reply shorter than its declared length is incomplete", async () => {
    const { failure } = await exchangeWith(socket => socket.end("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort"));
    assert.equal(failure?.neverSent, false);
});

test("a chunked reply without its last chunk is incomplete", async () => {
    const { failure } = await exchangeWith(socket =>
        socket.end("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n")
    );
    assert.equal(failure?.neverSent, false);
});

test("a request to a port without a listener was never sent", async () => {
    const server = await listen(() => undefined);
    const { port } = server.address() as AddressInfo;
    server.close();
    await once(server, "close");
    const { failure } = await exchange(port);
    assert.equal(failure?.neverSent, true);
});

test("a request that may not be sent any more when its connection is open does not reach the target", async () => {
    let received = 0;
    const server = await listen(() => received++);
    const closed = once(server, "connection").then(([socket]) => once(socket as Socket, "close"));
    const { failure } = await exchange((server.address() as AddressInfo).port, false);
    await closed;
    server.close();
    assert.deepEqual(failure, { neverSent: true, isWithdrawn: true, reason: "withdrawn" });
    assert.equal(received, 0);
});

test("a request whose connection closes without a reply may have been executed", async () => {
    const { failure } = await exchangeWith(socket => socket.destroy());
    assert.equal(failure?.neverSent, false);
});

test("data that arrives while connections are accepted is delivered in order, whole, and before the end", async () => {
    for (const ending of ["end", "reset"] as const) {
        const server = await listen(socket => {
            socket.write("HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\nfirst ");
            setTimeout(() => socket.write("second "), 5);
            setTimeout(() => ending === "end" ? socket.end("and the last one.") : socket.resetAndDestroy(), 15);
        });
        let endTurn = () => undefined as void;
        const bursts = new AcceptBursts({ afterInput: callback => endTurn = callback });
        bursts.noteConnection();
        const { port } = server.address() as AddressInfo;
        const chunks: string[] = [];
        const failure = await new Promise<ExchangeFailure | undefined>(resolve =>
            Exchange.open({
                host: "127.0.0.1",
                port,
                method: "GET",
                path: "/",
                headers: ["Host", "x"],
                body: undefined,
                connectTimeout: 1_000,
                maySend: () => true,
                bursts,
                listener: {
                    onHead: () => setTimeout(() => assert.deepEqual(chunks, []), 2),
                    onData: chunk => chunks.push(chunk.toString()),
                    onEnd: () => resolve(undefined),
                    onFailure: resolve,
                },
            })
        );
        endTurn();
        server.close();
        assert.equal(chunks.join(""), ending === "end" ? "first second and the last one." : "first second ");
        assert.equal(failure?.reason, ending === "end" ? undefined : "ECONNRESET");
    }
});

test("while connections are accepted, a reply is read ahead by some blocks only, and then it is whole", async () => {
    const length = 8 * megabyte;
    const server = await listen(socket => {
        socket.write(`HTTP/1.1 200 OK\r\nContent-Length: ${length}\r\n\r\n`);
        socket.write(Buffer.alloc(length));
    });
    let endTurn = () => undefined as void;
    const bursts = new AcceptBursts({ afterInput: callback => endTurn = callback });
    bursts.noteConnection();
    const { port } = server.address() as AddressInfo;
    let received = 0;
    let readAhead = length;
    await new Promise<void>((resolve, reject) => {
        const call = Exchange.open({
            host: "127.0.0.1",
            port,
            method: "GET",
            path: "/",
            headers: ["Host", "x"],
            body: undefined,
            connectTimeout: 1_000,
            maySend: () => true,
            bursts,
            listener: {
                onHead: () => setTimeout(() => endBurst(), 50),
                onData: chunk => received += chunk.length,
                onEnd: resolve,
                onFailure: ({ reason }) => reject(new Error(reason)),
            },
        });
        const endBurst = () => {
            readAhead = call.bytesRead;
            // A burst ends with the first turn that accepts no connection.
            endTurn();
            endTurn();
        };
    });
    server.close();
    assert.equal(received, length);
    assert.ok(readAhead <= 4 * 65_536, `${readAhead} bytes are read ahead`);
});

const megabyte = 1_048_576;

/** Writes a text again and again, some megabytes in all unless the connection is closed, and then a sound reply. */
function flood(socket: Socket, text: string): void {
    const block = Buffer.from(text.repeat(Math.ceil(65_536 / text.length)));
    let sent = 0;
    const write = () => {
        while (sent < 8 * megabyte && !socket.destroyed && !socket.writableNeedDrain) {
            socket.write(block);
            sent += block.length;
        }
        if (sent >= 8 * megabyte) {
            socket.end("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole");
        }
    };
    socket.on("drain", write);
    write();
}

// Guards against a gateway that hangs on what precedes a head: its parser accepts these without end.
test("a target that sends interim replies or line feeds without end is given up", async () => {
    for (const text of ["HTTP/1.1 102 P\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n", "\r\n"]) {
        const { failure } = await exchangeWith(socket => flood(socket, text));
        assert.equal(failure?.isFlood, true, JSON.stringify(text));
        assert.equal(failure?.neverSent, false);
    }
});

test("interim replies before a reply are read over", async () => {
    const interim = "HTTP/1.1 102 P\r\n\r\n".repeat(100);
    const { body } = await exchangeWith(socket => socket.end(`${interim}${unframed}whole`));
    assert.equal(body, "whole");
});

test("a chunk extension or trailer without end is an error", async () => {
    const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const [start, text] of [["1;", "a"], ["0\r\n", "A: b\r\n"]] as const) {
        const { failure } = await exchangeWith(socket => {
            socket.write(head + start);
            flood(socket, text);
        });
        assert.equal(failure?.neverSent, false);
    }
});

// Guards against a reply whose framing keeps the event loop: parsing a chunk takes the same time however small it is.
test("a reply in chunks of one byte without end is given up, and a short one is whole", async () => {
    const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const { body, failure } = await exchangeWith(socket => {
        socket.write(head);
        flood(socket, "1\r\ny\r\n");
    });
    assert.equal(failure?.isFlood, true);
    assert.ok(body.length < 65_536, `${body.length} bytes`);
    const short = await exchangeWith(socket => socket.end(`${head}${"1\r\ny\r\n".repeat(10_000)}0\r\n\r\n`));
    assert.equal(short.failure, undefined);
    assert.equal(short.body.length, 10_000);
});

/** Counts the calls and bytes of `onData`, in all and by turn of the event loop. */
async function countData(answer: (socket: Socket) => void): Promise<{ calls: number; bytes: number; most: number; }> {
    const server = await listen(answer);
    const counts = { calls: 0, bytes: 0, most: 0 };
    let inTurn = 0;
    await new Promise<void>(resolve => {
        Exchange.open({
            host: "127.0.0.1",
            port: (server.address() as AddressInfo).port,
            method: "GET",
            path: "/",
            headers: ["Host", "x"],
            body: undefined,
            connectTimeout: 1_000,
            maySend: () => true,
            listener: {
                onHead: () => undefined,
                onData: chunk => {
                    if (inTurn === 0) {
                        setImmediate(() => inTurn = 0);
                    }
                    inTurn += chunk.length;
                    counts.calls++;
                    counts.bytes += chunk.length;
                    counts.most = Math.max(counts.most, inTurn);
                },
                onEnd: () => resolve(),
                onFailure: () => resolve(),
            },
        });
    });
    server.close();
    return counts;
}

test("chunks that arrive together are handled together", async () => {
    const { calls, bytes } = await countData(socket => {
        socket.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        setImmediate(() => socket.end(`${"1\r\ny\r\n".repeat(2_000)}0\r\n\r\n`));
    });
    assert.equal(bytes, 2_000);
    assert.ok(calls <= 10, `${calls} calls`);
});

// Guards against one connection that keeps the event loop: Node.js reads a socket up to 32 times before the next one.
test("a reply that fills each read leaves the event loop to others", async () => {
    const { bytes, most } = await countData(socket => {
        socket.write(unframed);
        flood(socket, "y");
    });
    assert.ok(bytes > 8 * megabyte);
    assert.ok(most <= 262_144, `${most} bytes in one turn`);
});
