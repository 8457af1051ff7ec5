import assert from "node:assert/strict";
import { test } from "node:test";
import { chooseWatchRole } from "./chooseWatchRole.js";

const member = { isRelay: false, hasFollowers: false, hasDuty: false };

test("a gateway that is not a relay is a follower", () => {
    assert.equal(chooseWatchRole(member), "follower");
});

test("a relay polls the store alone, or as the leader of its followers", () => {
    assert.equal(chooseWatchRole({ ...member, isRelay: true }), "alone");
    assert.equal(chooseWatchRole({ ...member, isRelay: true, hasFollowers: true }), "leader");
});

test("the holder of the duty polls the store itself", () => {
    assert.equal(chooseWatchRole({ ...member, hasDuty: true }), "alone");
});
