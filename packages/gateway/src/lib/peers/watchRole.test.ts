import assert from "node:assert/strict";
import { test } from "node:test";
import { watchRole } from "./watchRole.js";

const member = { isRelay: false, hasFollowers: false, hasDuty: false };

test("a gateway that is not a relay is a follower", () => {
    assert.equal(watchRole(member), "follower");
});

test("a relay polls the store alone, or as the leader of its followers", () => {
    assert.equal(watchRole({ ...member, isRelay: true }), "alone");
    assert.equal(watchRole({ ...member, isRelay: true, hasFollowers: true }), "leader");
});

test("the holder of the duty polls the store itself", () => {
    assert.equal(watchRole({ ...member, hasDuty: true }), "alone");
});
