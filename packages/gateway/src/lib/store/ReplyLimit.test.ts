import { ManualClock } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { ReplyLimit } from "./ReplyLimit.js";

function createLimit(afterInput?: (callback: () => void) => void) {
    const clock = new ManualClock();
    let expiredAt: number | undefined;
    const onExpired = () => {
        expiredAt = clock.now();
    };
    const limit = new ReplyLimit({ clock, begin: 1_000, stall: 300, onExpired, afterInput });
    return { clock, limit, expiredAt: () => expiredAt };
}

test("a reply that does not begin expires when it should have begun", () => {
    const { clock, expiredAt } = createLimit();
    clock.advance(2_000);
    assert.equal(expiredAt(), 1_000);
});

test("a reply that makes progress never expires, one that stops expires after the stall time", () => {
    const { clock, limit, expiredAt } = createLimit();
    for (let time = 0; time < 10_000; time += 250) {
        clock.advance(250);
        limit.receive(1_400);
    }
    assert.equal(expiredAt(), undefined);
    clock.advance(1_000);
    assert.equal(expiredAt(), 10_300);
});

test("a reply that comes byte by byte expires", () => {
    const { clock, limit, expiredAt } = createLimit();
    for (let time = 0; time < 5_000; time += 100) {
        clock.advance(100);
        limit.receive(1);
    }
    assert.ok((expiredAt() ?? Infinity) <= 4_000);
});

test("input that was read after the timer counts", () => {
    const waiting: (() => void)[] = [];
    const { clock, limit, expiredAt } = createLimit(callback => waiting.push(callback));
    clock.advance(1_000);
    limit.receive(1_400);
    waiting.splice(0).forEach(callback => callback());
    assert.equal(expiredAt(), undefined);
    clock.advance(300);
    waiting.splice(0).forEach(callback => callback());
    assert.equal(expiredAt(), 1_300);
});

test("a call that has ended does not expire", () => {
    const { clock, limit, expiredAt } = createLimit();
    limit.cancel();
    clock.advance(5_000);
    assert.equal(expiredAt(), undefined);
});
