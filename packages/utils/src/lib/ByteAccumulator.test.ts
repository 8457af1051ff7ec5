import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { ByteAccumulator } from "./ByteAccumulator.js";

test("pieces are joined in order, and what was taken is not overwritten", () => {
    const pieces = fc.array(fc.uint8Array({ maxLength: 40 }), { maxLength: 60 });
    fc.assert(fc.property(fc.array(pieces, { maxLength: 4 }), rounds => {
        const accumulator = new ByteAccumulator();
        const taken: Buffer[] = [];
        const expected: Buffer[] = [];
        for (const round of rounds) {
            round.forEach(piece => accumulator.add(Buffer.from(piece)));
            expected.push(Buffer.concat(round));
            assert.equal(accumulator.length, expected.at(-1)?.length);
            taken.push(accumulator.take());
            assert.equal(accumulator.length, 0);
        }
        assert.deepEqual(taken, expected);
    }));
});

test("a sole piece is not copied, and never written to", () => {
    const accumulator = new ByteAccumulator();
    const piece = Buffer.from("abc").subarray(0, 2);
    accumulator.add(piece);
    accumulator.add(Buffer.from("x"));
    assert.equal(accumulator.take().toString(), "abx");
    assert.equal(piece.toString(), "ab");
    accumulator.add(piece);
    assert.equal(accumulator.take().buffer, piece.buffer);
});
