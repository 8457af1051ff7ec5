import { ManualClock } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { runInSlices } from "./runInSlices.js";

test("a long computation lets other work run every few milliseconds", async () => {
    const clock = new ManualClock();
    const longest = { slice: 0, start: 0 };
    function* compute(): Generator<undefined, string> {
        for (let step = 0; step < 50; step++) {
            clock.advance(1);
            longest.slice = Math.max(longest.slice, clock.now() - longest.start);
            yield undefined;
        }
        return "result";
    }
    const pause = () => {
        longest.start = clock.now();
        return Promise.resolve();
    };
    assert.equal(await runInSlices(compute(), clock, pause), "result");
    assert.ok(longest.slice <= 6, `${longest.slice} ms`);
});

test("what a step throws is thrown", async () => {
    function* compute(): Generator<undefined, string> {
        yield undefined;
        throw new Error("bad input");
    }
    await assert.rejects(runInSlices(compute(), new ManualClock()), /bad input/);
});
