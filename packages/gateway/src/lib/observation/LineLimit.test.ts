import { ManualClock } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { pino } from "pino";
import { LineLimit } from "./LineLimit.js";

test("lines about refused clients are limited each second, and the others are counted", () => {
    const clock = new ManualClock();
    const lines: string[] = [];
    const logger = pino({ base: undefined, timestamp: false }, { write: line => lines.push(line) });
    const limit = new LineLimit({ clock, logger, rate: 2 });
    assert.deepEqual([limit.take(), limit.take(), limit.take(), limit.take()], [true, true, false, false]);
    clock.advance(1_000);
    assert.match(lines.join(""), /"leftOut":2/);
    assert.equal(limit.take(), true);
    clock.advance(1_000);
    assert.equal(lines.length, 1);
});
