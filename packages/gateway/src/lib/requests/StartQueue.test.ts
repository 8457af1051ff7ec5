import { ManualClock } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { type ReceivedRequest } from "../server/CallerServer.js";
import { StartQueue } from "./StartQueue.js";

function createQueue() {
    const clock = new ManualClock();
    const state = { isReady: false };
    const passed: ReceivedRequest[] = [];
    const queue = new StartQueue({
        clock,
        isReady: () => state.isReady,
        onRequest: request => passed.push(request),
    });
    return { clock, state, passed, queue };
}

function testRequest(isGone = false): ReceivedRequest {
    return { response: { destroyed: isGone } } as ReceivedRequest;
}

test("callers that come while the process learns are served when it has, in their order", () => {
    const { state, passed, queue } = createQueue();
    const requests = Array.from({ length: 50 }, () => testRequest());
    requests.forEach(request => queue.take(request));
    queue.release();
    assert.equal(passed.length, 0);
    state.isReady = true;
    queue.release();
    assert.deepEqual(passed, requests);
});

test("a process that does not learn judges them after 300 ms", () => {
    const { clock, passed, queue } = createQueue();
    queue.take(testRequest());
    clock.advance(299);
    assert.equal(passed.length, 0);
    clock.advance(1);
    assert.equal(passed.length, 1);
});

test("once ready nothing waits, and nothing is passed on twice", () => {
    const { clock, state, passed, queue } = createQueue();
    queue.take(testRequest());
    state.isReady = true;
    queue.release();
    queue.take(testRequest());
    clock.advance(1_000);
    assert.equal(passed.length, 2);
});

test("a caller that has left meanwhile is not served", () => {
    const { state, passed, queue } = createQueue();
    queue.take(testRequest(true));
    state.isReady = true;
    queue.release();
    assert.equal(passed.length, 0);
});

test("no more than 400 wait", () => {
    const { passed, queue } = createQueue();
    Array.from({ length: 403 }, () => queue.take(testRequest()));
    assert.equal(passed.length, 3);
});
