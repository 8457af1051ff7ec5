import { seededRandom } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { AcceptBursts } from "./AcceptBursts.js";

/** A loop whose turns a test ends. */
function createLoop() {
    const due: (() => void)[] = [];
    return {
        afterInput: (callback: () => void) => void due.push(callback),
        endTurn: () => due.splice(0).forEach(callback => callback()),
        get isDue() {
            return due.length > 0;
        },
    };
}

test("input waits until a turn accepts no connection", () => {
    const loop = createLoop();
    const bursts = new AcceptBursts(loop);
    let released = 0;
    for (let turn = 0; turn < 10; turn++) {
        bursts.noteConnection();
        assert.ok(bursts.isActive);
        bursts.whenOver(() => released++);
        loop.endTurn();
    }
    assert.equal(released, 0);
    loop.endTurn();
    assert.equal(released, 10);
    assert.ok(!bursts.isActive);
    assert.ok(!loop.isDue, "an idle loop may sleep");
});

test("input waits behind a bounded number of connections, in any order", () => {
    const random = seededRandom(3);
    const loop = createLoop();
    const bursts = new AcceptBursts(loop);
    let waiting = 0;
    let longest = 0;
    for (let turn = 0; turn < 5_000; turn++) {
        if (random.next() < 0.98) {
            bursts.noteConnection();
            waiting++;
        }
        if (bursts.isActive) {
            bursts.whenOver(() => {
                longest = Math.max(longest, waiting);
                waiting = 0;
            });
        }
        loop.endTurn();
    }
    assert.ok(longest <= 65, `${longest} connections`);
});
