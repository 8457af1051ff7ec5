import { seededRandom, SystemClock } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, createServer } from "node:net";
import { test, type TestContext } from "node:test";
import { StoreEras } from "../store/StoreEras.js";
import { silentObservation } from "../testing/fixtures.js";
import { TableCopies } from "./TableCopies.js";

const host = "127.0.0.1";
const rows = [{ key: "k", value: { text: "x".repeat(200_000) }, version: 3 }];

/** @returns A port that nothing listens on. */
function findPort(): Promise<number> {
    return new Promise(resolve => {
        const server = createServer().listen(0, host, () => {
            const address = server.address();
            server.close(() => resolve(typeof address === "object" ? address?.port ?? 0 : 0));
        });
    });
}

async function createCopies(
    t: TestContext,
    mayRead = true,
): Promise<{ readonly copies: TableCopies; readonly address: string; }> {
    const clock = new SystemClock();
    const port = await findPort();
    const copies = new TableCopies({
        clock,
        random: seededRandom(1),
        address: { host, port },
        eras: new StoreEras(),
        observation: silentObservation(clock),
        mayRead: () => mayRead,
    });
    await copies.start();
    t.after(() => copies.stop());
    return { copies, address: `${host}:${port}` };
}

test("a gateway hands on the rows that it keeps, and the receiver can hand them on as they came", async t => {
    const [a, b, c] = await Promise.all([createCopies(t), createCopies(t), createCopies(t)]);
    a.copies.keep("t", 3, rows, undefined);
    b.copies.reader.noteHolder("t", a.address, 3);
    const read = await b.copies.reader.read("t", 3);
    assert.deepEqual(read?.copy.rows, rows);
    assert.ok(read.encoded.length < 10_000);
    b.copies.keep("t", 3, read.copy.rows, read.encoded);
    c.copies.reader.noteHolder("t", b.address, 3);
    assert.deepEqual((await c.copies.reader.read("t", 3))?.copy.rows, rows);
});

// Guards against an end of the following of a table whose rows are nested too deeply to be handed on.
test("rows that cannot be serialised are not handed on, and later ones are", async t => {
    const [a, b] = await Promise.all([createCopies(t), createCopies(t)]);
    const nested = JSON.parse(`${"[".repeat(30_000)}${"]".repeat(30_000)}`) as unknown;
    a.copies.keep("t", 3, [{ key: "k", value: nested, version: 3 }], undefined);
    b.copies.reader.noteHolder("t", a.address, 3);
    assert.equal(await b.copies.reader.read("t", 3), undefined);
    a.copies.keep("t", 4, rows, undefined);
    b.copies.reader.noteHolder("t", a.address, 4);
    assert.deepEqual((await b.copies.reader.read("t", 4))?.copy.rows, rows);
});

test("a holder whose address is none gives no copy", async t => {
    const { copies } = await createCopies(t);
    for (const address of ["", "x", "127.0.0.1:", "127.0.0.1:99999", "127.0.0.1:-1", "a b:1", "\r\n:1"]) {
        copies.reader.noteHolder("t", address, 3);
        assert.equal(await copies.reader.read("t", 3), undefined, address);
    }
});

// Guards against a peer's answer without end that is kept until the process runs out of memory.
test("a copy without end, or without a final status, is given up", async t => {
    const { copies } = await createCopies(t);
    const block = Buffer.alloc(65_536, "x");
    for (
        const [start, flood] of [
            ["HTTP/1.1 200 OK\r\n\r\n", block],
            ["HTTP/1.1 200 OK\r\nX: ", block],
            ["", Buffer.from("HTTP/1.1 100 Continue\r\n\r\n".repeat(2_000))],
            ["HTTP/1.1 000 OK\r\n\r\n", block],
            ["HTTP/1.1 101 OK\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n", block],
        ] as const
    ) {
        const server = createServer(socket => {
            const write = () => {
                while (!socket.destroyed && !socket.writableNeedDrain) {
                    socket.write(flood);
                }
            };
            socket.on("error", () => undefined);
            socket.on("drain", write);
            socket.once("data", () => {
                socket.write(start);
                write();
            });
        }).listen(0, host);
        await once(server, "listening");
        const { port } = server.address() as AddressInfo;
        copies.reader.noteHolder("t", `${host}:${port}`, 3);
        assert.equal(await copies.reader.read("t", 3), undefined, start);
        server.close();
    }
});

test("a gateway without a copy, and one that is gone, give none", async t => {
    const [a, b] = await Promise.all([createCopies(t), createCopies(t)]);
    b.copies.reader.noteHolder("t", a.address, 3);
    b.copies.reader.noteHolder("t", `${host}:${await findPort()}`, 3);
    assert.equal(await b.copies.reader.read("t", 3), undefined);
});

test("a process that is no known gateway gets no copy", async t => {
    const [a, b] = await Promise.all([createCopies(t, false), createCopies(t)]);
    a.copies.keep("t", 3, rows, undefined);
    b.copies.reader.noteHolder("t", a.address, 3);
    assert.equal(await b.copies.reader.read("t", 3), undefined);
});

test("more gateways than one serves at a time all get the copy", async t => {
    const source = await createCopies(t);
    source.copies.keep("t", 3, rows, undefined);
    const others = await Promise.all(Array.from({ length: 12 }, () => createCopies(t)));
    others.forEach(({ copies }) => copies.reader.noteHolder("t", source.address, 3));
    const waiting = new Set(others);
    while (waiting.size > 0) {
        await Promise.all([...waiting].map(async other => {
            const read = await other.copies.reader.read("t", 3);
            if (read !== undefined) {
                other.copies.keep("t", 3, read.copy.rows, read.encoded);
                waiting.delete(other);
            }
        }));
    }
});

test("a gateway whose port is taken works without handing on copies", async t => {
    const a = await createCopies(t);
    const clock = new SystemClock();
    const second = new TableCopies({
        clock,
        random: seededRandom(1),
        address: { host, port: Number(a.address.split(":")[1]) },
        eras: new StoreEras(),
        observation: silentObservation(clock),
        mayRead: () => true,
    });
    await second.start();
    second.keep("t", 3, rows, undefined);
    second.stop();
});
