import fc from "fast-check";
import assert from "node:assert/strict";
import test from "node:test";
import { FrameReader, toFrame } from "./frames.js";

test("frames are restored whatever the chunk boundaries", () => {
    const bodies = fc.array(fc.uint8Array({ maxLength: 300 }), { maxLength: 10 });
    fc.assert(fc.property(bodies, fc.array(fc.integer({ min: 1, max: 200 }), { minLength: 1 }), (sent, sizes) => {
        const bytes = Buffer.concat(sent.map(toFrame));
        const reader = new FrameReader(300);
        const received: Buffer[] = [];
        for (let start = 0, index = 0; start < bytes.length; index++) {
            const end = start + (sizes[index % sizes.length] ?? 1);
            received.push(...(reader.push(bytes.subarray(start, end)) ?? []));
            start = end;
        }
        assert.deepEqual(received.map(body => [...body]), sent.map(body => [...body]));
    }));
});

test("a frame above the limit is an error before its body has arrived", () => {
    assert.equal(new FrameReader(10).push(toFrame(new Uint8Array(11)).subarray(0, 4)), undefined);
    assert.equal(new FrameReader(10).push(toFrame(new Uint8Array(10)))?.length, 1);
});
