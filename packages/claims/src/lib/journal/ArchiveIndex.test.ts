import fc from "fast-check";
import assert from "node:assert/strict";
import test from "node:test";
import { shortHash } from "../claimId.js";
import { ArchiveIndex, fingerprint } from "./ArchiveIndex.js";

test("a decoded index contains all its keys and no others", () => {
    const seed = 20261202;
    fc.assert(
        fc.property(fc.uniqueArray(fc.nat(), { maxLength: 300 }), numbers => {
            const hashes = numbers.map(number => shortHash(String(number)));
            const index = ArchiveIndex.decode(ArchiveIndex.of(hashes).encode());
            assert.equal(index?.size, hashes.length);
            assert.ok(hashes.every(hash => index?.mayContain(fingerprint(hash))));
            const others = numbers.filter(number => index?.mayContain(fingerprint(shortHash(`other ${number}`))));
            assert.deepEqual(others, []);
        }),
        { seed },
    );
});

test("bytes that are not an index are rejected", () => {
    assert.equal(ArchiveIndex.decode(new Uint8Array(9)), undefined);
});
