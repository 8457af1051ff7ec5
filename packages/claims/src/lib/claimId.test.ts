import fc from "fast-check";
import assert from "node:assert/strict";
import test from "node:test";
import { decodeClaim, encodeClaim, keyHashOf, shortHash } from "./claimId.js";

const text = fc.string({ unit: "grapheme", maxLength: 40 });

test("encoding and decoding a claim id preserves every field", () => {
    fc.assert(
        fc.property(text, text, text, text, text, fc.nat(), (route, organisation, key, target, incarnation, n) => {
            const keyHash = keyHashOf({ route, organisation, key });
            const identity = {
                route,
                organisation,
                keyHash,
                series: key,
                generation: n % 1e9,
                runner: { target, incarnation },
            };
            assert.deepEqual(decodeClaim(encodeClaim(identity)), identity);
        }),
    );
});

test("text that is not a claim id is rejected", () => {
    const good = encodeClaim({
        route: "r",
        organisation: "o",
        keyHash: shortHash("k"),
        generation: 1,
        runner: { target: "t", incarnation: "i" },
    });
    const bad = [
        "",
        "c1",
        good.replace("c1", "c9"),
        `${good}/x`,
        good.replace("/1/", "/01/"),
        `${good}%`,
        "c1/b/c/d/e/f/g/h",
        good.replace("c1/", "c1"),
    ];
    for (const id of bad) {
        assert.equal(decodeClaim(id), undefined, id);
    }
});

test("hashed fields do not run together", () => {
    assert.notEqual(shortHash("ab", "c"), shortHash("a", "bc"));
    assert.notEqual(shortHash("a", ""), shortHash("a"));
});
