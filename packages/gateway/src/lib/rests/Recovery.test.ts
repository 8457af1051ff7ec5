import assert from "node:assert/strict";
import { test } from "node:test";
import { Recovery } from "./Recovery.js";

const now = 1_000;

/** Begins as many requests as the window admits. @returns Their number. */
function fill(recovery: Recovery): number {
    let begun = 0;
    for (; recovery.mayBegin(now); begun++) {
        recovery.begin(now);
    }
    return begun;
}

/** Plays rounds in which the window is filled and all requests end in the same way. @returns Their sizes. */
function playRounds(recovery: Recovery, ends: readonly ("accepted" | "refused" | "unanswered")[]): number[] {
    return ends.map(end => {
        const begun = fill(recovery);
        for (let i = 0; i < begun; i++) {
            recovery.end(end);
        }
        return begun;
    });
}

test("the window doubles with each round of accepted requests until the target has recovered", () => {
    const recovery = new Recovery();
    const rounds = playRounds(recovery, Array.from({ length: 5 }, () => "accepted"));
    assert.deepEqual(rounds, [1, 2, 4, 8, 16]);
    assert.ok(recovery.isOver);
});

test("after a refusal it starts with one, and above half of what was refused grows by one a round", () => {
    const recovery = new Recovery();
    const accepted = Array.from({ length: 3 }, () => "accepted" as const);
    playRounds(recovery, accepted);
    assert.deepEqual(playRounds(recovery, ["refused", ...accepted, ...accepted]), [8, 1, 2, 4, 5, 6, 7]);
});

test("one more request may begin each second although none is answered", () => {
    const recovery = new Recovery();
    fill(recovery);
    assert.equal(recovery.mayBegin(now + 999), false);
    assert.equal(recovery.mayBegin(now + 1_000), true);
    recovery.begin(now + 1_000);
    assert.equal(recovery.mayBegin(now + 1_500), false);
});

test("a request without an answer leaves the window as it is", () => {
    const recovery = new Recovery();
    assert.deepEqual(playRounds(recovery, ["unanswered", "unanswered", "accepted"]), [1, 1, 1]);
    assert.equal(fill(recovery), 2);
});
