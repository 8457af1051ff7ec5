import assert from "node:assert/strict";
import { test } from "node:test";
import { isPart, listCrashCauses, partCause } from "./crashCauses.js";

test("causes of a crash: the request and each shared part of its prompt, once", () => {
    const causes = listCrashCauses("digest", ["a", "b", "a"]);
    assert.deepEqual(causes, ["digest", partCause("a"), partCause("b")]);
    assert.deepEqual(causes.map(isPart), [false, true, true]);
});

test("a cause does not reveal the id of its part, and is as long for each id", () => {
    const lengths = new Set(["a", "5c1e07a2", "x".repeat(10_000)].map(id => partCause(id).length));
    assert.deepEqual([...lengths], [12]);
    assert.doesNotMatch(partCause("5c1e07a2"), /5c1e07a2/);
});

test("a prompt of thousands of parts has a bounded number of causes", () => {
    const parts = Array.from({ length: 5_000 }, (_, index) => `part ${index}`);
    assert.equal(listCrashCauses("digest", parts).length, 65);
});
