import { transportCodes } from "@waxwingspar/utils";
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { type Message, messageSchema } from "../messages/Message.js";
import { buildFrame, decodeFrame, encodeMessage } from "./codec.js";
import { FrameParser } from "./FrameParser.js";

const maxFrame = 64 * 1024;

/** Splits bytes into chunks, repeating the given sizes. */
function splitIntoChunks(bytes: Buffer, sizes: readonly number[]): Buffer[] {
    const chunks: Buffer[] = [];
    for (let start = 0, turn = 0; start < bytes.length; turn++) {
        const size = sizes[turn % sizes.length] ?? 1;
        chunks.push(bytes.subarray(start, start + size));
        start += size;
    }
    return chunks;
}

/** Feeds chunks to a parser and collects the accepted messages, up to the first failure. */
function parse(chunks: readonly Buffer[]): { messages: Message[]; failed: boolean; } {
    const parser = new FrameParser(maxFrame);
    const messages: Message[] = [];
    for (const chunk of chunks) {
        parser.push(chunk);
        for (let frame = parser.next();; frame = parser.next()) {
            if (frame.isErr) {
                return { messages, failed: true };
            }
            if (frame.value === undefined) {
                break;
            }
            const decoded = decodeFrame(frame.value);
            if (decoded.isErr) {
                return { messages, failed: true };
            }
            messages.push(...decoded.value);
        }
    }
    return { messages, failed: false };
}

const frameMessage = fc.record({
    type: fc.constant("frame" as const),
    request: fc.string(),
    epoch: fc.nat(),
    position: fc.nat(),
    count: fc.integer({ min: 1, max: 1000 }),
    layer: fc.nat(),
    prefill: fc.boolean(),
    data: fc.uint8Array({ maxLength: 200 }),
}, { noNullPrototype: true });
const tokensMessage = fc.record({
    type: fc.constant("tokens" as const),
    request: fc.string(),
    epoch: fc.nat(),
    position: fc.nat(),
    ids: fc.array(fc.integer()),
    texts: fc.array(fc.string()),
}, { noNullPrototype: true });
const batches = fc.array(fc.array(fc.oneof(frameMessage, tokensMessage), { minLength: 1, maxLength: 5 }));

/** Converts the data of frames to plain arrays, so that buffers and byte arrays compare as equal. */
function plain(messages: readonly Message[]): unknown {
    return messages.map(message => message.type === "frame" ? { ...message, data: [...message.data] } : message);
}

test("messages are decoded however the stream is split into chunks", () => {
    fc.assert(fc.property(batches, fc.array(fc.integer({ min: 1, max: 90 }), { minLength: 1 }), (sent, sizes) => {
        const bytes = Buffer.concat(sent.map(batch => buildFrame(batch.map(encodeMessage))));
        const result = parse(splitIntoChunks(bytes, sizes));
        assert.equal(result.failed, false);
        assert.deepEqual(plain(result.messages), plain(sent.flat()));
    }));
});

test("arbitrary bytes never throw and never give a message that fails its schema", () => {
    fc.assert(fc.property(fc.uint8Array({ maxLength: 400 }), fc.integer({ min: 1, max: 50 }), (bytes, size) => {
        const raw = parse(splitIntoChunks(Buffer.from(bytes), [size]));
        const framed = Buffer.alloc(bytes.length + 4);
        framed.writeUInt32BE(bytes.length, 0);
        framed.set(bytes, 4);
        const accepted = [...raw.messages, ...parse([framed]).messages];
        accepted.forEach(message => messageSchema.parse(message));
    }));
});

test("a valid frame with flipped bytes is refused or still holds to the schema", () => {
    fc.assert(fc.property(frameMessage, fc.nat(), fc.integer({ min: 1, max: 255 }), (message, where, mask) => {
        const bytes = buildFrame([encodeMessage(message)]);
        const index = where % bytes.length;
        bytes.writeUInt8(bytes.readUInt8(index) ^ mask, index);
        for (const accepted of parse([bytes]).messages) {
            messageSchema.parse(accepted);
        }
    }));
});

test("a length beyond the limit fails before the frame is buffered", () => {
    const parser = new FrameParser(maxFrame);
    parser.push(Buffer.from([0xff, 0xff, 0xff, 0xff]));
    const next = parser.next();
    assert.equal(next.isErr && next.error.code, transportCodes.protocolViolation);
    parser.push(Buffer.from([0, 0, 0, 1, 0]));
    assert.ok(parser.next().isErr, "a broken parser stays broken");
});

test("an unknown or incomplete message fails the frame", () => {
    for (const body of [{ type: "conquer" }, { type: "credit", request: "r" }, 7, null]) {
        const frame = buildFrame([encodeMessage(body as unknown as Message)]);
        assert.ok(parse([frame]).failed);
    }
});
