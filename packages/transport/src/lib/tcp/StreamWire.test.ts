import assert from "node:assert/strict";
import { Duplex } from "node:stream";
import { test } from "node:test";
import { buildFrame, encodeMessage } from "../frames/codec.js";
import { type Message } from "../messages/Message.js";
import { StreamWire } from "./StreamWire.js";

function cancelMessages(count: number): Message[] {
    return Array.from({ length: count }, (_, epoch): Message => ({ type: "cancel", request: "r", epoch }));
}

/** A wire over a stream that records each write. */
function recordingWire(maxFrame: number) {
    const writes: Buffer[] = [];
    const stream = new Duplex({
        read: () => undefined,
        write: (chunk: Buffer, _encoding, done) => {
            writes.push(chunk);
            done();
        },
    });
    const ends: (string | undefined)[] = [];
    const wire = new StreamWire({
        stream,
        maxFrame,
        maxFirstFrame: maxFrame,
        maxQueued: 1_000_000,
        onMessage: () => undefined,
        onEnd: reason => ends.push(reason?.code.name),
    });
    return { wire, writes, ends };
}

const nextTurn = () => new Promise(resolve => setImmediate(resolve));

test("messages of one turn are sent in one write, in order", async () => {
    const { wire, writes } = recordingWire(10_000);
    const messages = cancelMessages(20);
    messages.slice(0, 10).forEach(message => wire.send(message));
    await Promise.resolve();
    messages.slice(10).forEach(message => wire.send(message));
    assert.equal(writes.length, 0);
    await nextTurn();
    assert.deepEqual(writes, [buildFrame(messages.map(encodeMessage))]);
});

test("messages of one turn that exceed a frame are sent in several frames", async () => {
    const { wire, writes } = recordingWire(100);
    cancelMessages(10).forEach(message => wire.send(message));
    await nextTurn();
    assert.ok(writes.length > 1);
    assert.ok(writes.every(write => write.length <= 100 + 4));
});

test("a message larger than a frame closes the wire instead of reordering", async () => {
    const { wire, writes, ends } = recordingWire(100);
    wire.send({ type: "replyBody", request: "r", data: new Uint8Array(200), last: true });
    cancelMessages(1).forEach(message => wire.send(message));
    await nextTurn();
    assert.deepEqual(ends, ["protocol-violation"]);
    assert.deepEqual(writes, []);
});

test("closing flushes what was sent in the same turn", async () => {
    const { wire, writes } = recordingWire(1000);
    const messages = cancelMessages(3);
    messages.forEach(message => wire.send(message));
    wire.close();
    assert.deepEqual(writes, [buildFrame(messages.map(encodeMessage))]);
});
