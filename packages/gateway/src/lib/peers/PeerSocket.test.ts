import { ManualClock } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { createSocket, type Socket } from "node:dgram";
import { EventEmitter } from "node:events";
import { test } from "node:test";
import { silentLogs } from "../testing/fixtures.js";
import { bindTimeout, PeerSocket } from "./PeerSocket.js";

const address = { host: "127.0.0.1", port: 7_340 };

/** A socket whose bind fails while its address is in use. */
class FakeSocket extends EventEmitter {
    isClosed = false;

    constructor(private readonly isInUse: () => boolean) {
        super();
    }

    bind(_port: number, _host: string, onListening: () => void): void {
        queueMicrotask(() => this.isInUse() ? this.emit("error", new Error("EADDRINUSE")) : onListening());
    }

    close(): void {
        this.isClosed = true;
    }
}

function createFixture(isInUse: () => boolean) {
    const clock = new ManualClock(0);
    const sockets: FakeSocket[] = [];
    const lost: Error[] = [];
    const socket = new PeerSocket({
        clock,
        address,
        logger: silentLogs().peers,
        onDatagram: () => undefined,
        onLost: error => lost.push(error),
        createSocket: () => {
            const created = new FakeSocket(isInUse);
            sockets.push(created);
            return created as unknown as Socket;
        },
    });
    return { clock, sockets, lost, socket };
}

test("an address that another process releases later is bound then", async () => {
    let isInUse = true;
    const { clock, sockets, socket } = createFixture(() => isInUse);
    const opened = socket.open();
    await clock.advanceAsync(4_000);
    assert.equal(socket.isListening, false);
    isInUse = false;
    await clock.advanceAsync(1_000);
    await opened;
    assert.equal(socket.isListening, true);
    assert.ok(sockets.length < 12, `${sockets.length} attempts`);
    assert.deepEqual(sockets.map(({ isClosed }) => isClosed), [...sockets.slice(1).map(() => true), false]);
});

test("an address that stays in use ends the start with a numbered error that names it", async () => {
    const { clock, socket } = createFixture(() => true);
    const opened = assert.rejects(socket.open(), /5007 address-unavailable: 127\.0\.0\.1:7340\/udp .*EADDRINUSE/);
    await clock.advanceAsync(bindTimeout + 1_000);
    await opened;
    assert.equal(socket.isListening, false);
});

test("a socket that fails while it is open is replaced", async () => {
    let isInUse = false;
    const { clock, sockets, lost, socket } = createFixture(() => isInUse);
    await socket.open();
    isInUse = true;
    sockets[0]?.emit("error", new Error("ENETDOWN"));
    await clock.advanceAsync(2_000);
    assert.equal(socket.isListening, false);
    isInUse = false;
    await clock.advanceAsync(1_000);
    assert.equal(socket.isListening, true);
    assert.deepEqual(lost, []);
});

test("a socket that fails and cannot be replaced is reported once", async () => {
    let isInUse = false;
    const { clock, sockets, lost, socket } = createFixture(() => isInUse);
    await socket.open();
    isInUse = true;
    sockets[0]?.emit("error", new Error("ENETDOWN"));
    await clock.advanceAsync(bindTimeout + 1_000);
    assert.equal(lost.length, 1);
});

test("a socket that is closed while its address is in use opens no more", async () => {
    let isInUse = true;
    const { clock, sockets, socket } = createFixture(() => isInUse);
    void socket.open();
    await clock.advanceAsync(500);
    socket.close();
    isInUse = false;
    await clock.advanceAsync(2_000);
    assert.equal(socket.isListening, false);
    assert.ok(sockets.every(({ isClosed }) => isClosed));
});

test("datagrams pass between two sockets", async () => {
    const free = createSocket("udp4");
    const port = await new Promise<number>(resolve => {
        free.bind(0, address.host, () => resolve(free.address().port));
    });
    await new Promise<void>(resolve => free.close(resolve));
    const received = new Promise<string>(resolve => {
        const socket = new PeerSocket({
            clock: new ManualClock(0),
            address: { host: address.host, port },
            logger: silentLogs().peers,
            onDatagram: datagram => {
                socket.close();
                resolve(datagram);
            },
            onLost: () => undefined,
        });
        void socket.open().then(() => socket.send("hello", port, address.host));
    });
    assert.equal(await received, "hello");
});
