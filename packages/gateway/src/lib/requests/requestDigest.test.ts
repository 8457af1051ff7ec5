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

test("the same request has the same digest, and any part that differs gives another", () => {
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

test("what stands at the end of one part is not taken for the start of the next", () => {
    const moved = { ...identity, path: "/chat/?x=1a", organisation: "cme" };
    assert.notEqual(requestDigest(moved), requestDigest({ ...identity, organisation: "acme" }));
});
