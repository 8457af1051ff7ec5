import assert from "node:assert/strict";
import { test } from "node:test";
import { requestDigest } from "./requestDigest.js";

const identity = {
    method: "POST",
    hostname: "a.example",
    path: "/chat/?x=1",
    organisation: "acme",
    body: Buffer.from("question"),
};

test("equal requests have the same digest, and any difference changes it", () => {
    const digest = requestDigest(identity);
    assert.equal(requestDigest({ ...identity, body: Buffer.from("question") }), digest);
    const others = [
        { ...identity, method: "GET" },
        { ...identity, hostname: "b.example" },
        { ...identity, path: "/chat/?x=2" },
        { ...identity, organisation: "other" },
        { ...identity, organisation: undefined },
        { ...identity, body: Buffer.from("another question") },
        { ...identity, body: undefined },
    ];
    assert.equal(new Set([digest, ...others.map(requestDigest)]).size, others.length + 1);
});

test("the digest depends on the boundaries between the parts of a request", () => {
    const moved = { ...identity, path: "/chat/?x=1a", organisation: "cme" };
    assert.notEqual(requestDigest(moved), requestDigest({ ...identity, organisation: "acme" }));
});
