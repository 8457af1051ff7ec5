import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { BodyBuffer } from "./BodyBuffer.js";

// Guards against a block of 0 bytes, which was asked for again and again.
test("a body is collected whole, whatever length was announced and in whatever pieces it comes", () => {
    const announced = fc.option(fc.nat({ max: 5_000 }), { nil: undefined });
    const pieces = fc.array(fc.uint8Array({ maxLength: 3_000 }), { maxLength: 6 });
    fc.assert(fc.property(announced, pieces, (length, parts) => {
        let held = length ?? 0;
        const body = new BodyBuffer({
            announced: length,
            reserve: bytes => {
                held += bytes;
                return true;
            },
            release: bytes => held -= bytes,
        });
        const buffers = parts.map(part => Buffer.from(part));
        buffers.forEach(buffer => assert.equal(body.add(buffer), true));
        assert.ok(held >= body.length, "what it takes has been asked for");
        assert.deepEqual(body.take(), Buffer.concat(buffers));
    }));
});

test("a body without memory for a piece is refused", () => {
    const body = new BodyBuffer({ announced: 0, reserve: () => false, release: () => undefined });
    assert.equal(body.add(Buffer.alloc(0)), true);
    assert.equal(body.add(Buffer.from("x")), false);
});
