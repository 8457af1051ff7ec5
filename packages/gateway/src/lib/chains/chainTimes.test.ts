import assert from "node:assert/strict";
import { test } from "node:test";
import { timedChain, timedTestEngine } from "../testing/timedFixtures.js";
import {
    delayBetween,
    isTimed,
    loadWithinInterval,
    predictTimes,
    type TimedChain,
    type TimedEngine,
} from "./chainTimes.js";

const fast = timedChain(3, { a100: 80 });
const mixed = timedChain(11, { a100: 28, a10: 45, l4: 7 });
const slow = timedChain(14, { l4: 35, a10: 45 });

/** Predicts for a prompt of the usual length. */
function predict(chain: TimedChain, requests: number, tokens = timedTestEngine.usualPrompt) {
    return predictTimes(chain, timedTestEngine, { requests }, tokens);
}

function assertWithin(value: number, min: number, max: number) {
    assert.ok(value >= min && value <= max, `${value} is not from ${min} to ${max}`);
}

// Guards against constants that no longer fit the measured chains, with 5 % of tolerance.
test("predictions fit the chains that were measured", () => {
    assertWithin(predict(fast, 1).eventInterval, 29 * 0.95, 29 * 1.05);
    assertWithin(predict(fast, 134).eventInterval, 42 * 0.95, 44 * 1.05);
    assertWithin(predict(mixed, 1).eventInterval, 59 * 0.95, 59 * 1.05);
    assertWithin(predict(mixed, 134).eventInterval, 80, 90);
    assertWithin(predict(slow, 134).eventInterval, 118, 176);
    assertWithin(predict(fast, 0).firstEvent, 30 * 0.95, 30 * 1.05);
    assertWithin(predict(mixed, 0).firstEvent, 50 * 0.95, 50 * 1.05);
});

// Guards against a long prompt that is sent to a slow chain because that one has fewer requests.
test("a long prompt is sooner on a half full fast chain than on an empty slow one, unlike a short prompt", () => {
    assert.ok(predict(fast, 67, 8_000).firstEvent < predict(mixed, 0, 8_000).firstEvent);
    assert.ok(predict(fast, 100, 100).firstEvent > predict(mixed, 0, 100).firstEvent);
});

// Guards against many prompts that are sent to the same chain before the first of them is processed.
test("a prompt waits for those that the chain has yet to process", () => {
    const pending = { requests: 20, pendingTokens: 20_000 };
    const behind = predictTimes(fast, timedTestEngine, pending, 100).firstEvent;
    assert.ok(behind > predict(fast, 20, 100).firstEvent + 60);
});

// Guards against a chain that is full but predicted to be as soon as one with room.
test("a request that finds a full chain waits until others have ended", () => {
    const duration = 218 / 5 * predict(fast, 134).eventInterval;
    const wait = predict(fast, 144).firstEvent - predict(fast, 133).firstEvent;
    assertWithin(wait, duration * 11 / 134, duration * 12 / 134);
});

// Guards against admission by a load at which events are late.
test("the load within an interval is the largest whose predicted interval is within it", () => {
    for (const chain of [fast, mixed, slow].map(chain => ({ ...chain, room: Infinity }))) {
        for (const maxInterval of [100, 150, 200]) {
            const load = loadWithinInterval(chain, timedTestEngine, maxInterval);
            assert.ok(predict(chain, load).eventInterval <= maxInterval);
            assert.ok(predict(chain, load + 1).eventInterval > maxInterval);
        }
    }
    assert.equal(loadWithinInterval(slow, timedTestEngine, 80), 0);
    assert.equal(
        loadWithinInterval(fast, { ...timedTestEngine, requestStepTime: 0, contextStepTime: 0 }, 80),
        Infinity,
    );
});

// Guards against a chain over the link between data centres that is predicted to be as soon as one without.
test("crossings cost their delay and the transfer of activations", () => {
    const crossing = { ...fast, crossings: 1, crossingDelay: 0.3 };
    const transfer = 775 * 23_498 * 8 / 3_760_000;
    assertWithin(predict(crossing, 0).firstEvent - predict(fast, 0).firstEvent, transfer + 0.29, transfer + 0.31);
    assert.equal(delayBetween(timedTestEngine, "y", "x"), 0.3);
    assert.equal(delayBetween(timedTestEngine, "x", "unknown"), 0);
});

// Guards against divisions by zero and predictions from a part of the times.
test("an engine with a time that is missing or zero allows no predictions", () => {
    assert.ok(isTimed(timedTestEngine));
    const partial: Partial<TimedEngine>[] = [{ stepsPerPass: 0 }, { prefillRate: 0 }];
    assert.ok(partial.every(change => !isTimed({ ...timedTestEngine, ...change })));
    assert.ok(!isTimed({ ...timedTestEngine, requestStepTime: undefined }));
    assert.ok(!isTimed({ ...timedTestEngine, contextStepTime: undefined }));
});
