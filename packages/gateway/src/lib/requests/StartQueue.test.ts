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

function testRequest(hasLeft = false): ReceivedRequest {
    return { presence: { hasLeft } } as ReceivedRequest;
}

test("requests that arrive before the process is ready are forwarded in order once it is", () => {
    const { state, passed, queue } = createQueue();
    const requests = Array.from({ length: 50 }, () => testRequest());
    requests.forEach(request => queue.take(request));
    queue.release();
    assert.equal(passed.length, 0);
    state.isReady = true;
    queue.release();
    assert.deepEqual(passed, requests);
});

test("requests are forwarded after 300 ms if the process is not ready", () => {
    const { clock, passed, queue } = createQueue();
    queue.take(testRequest());
    clock.advance(299);
    assert.equal(passed.length, 0);
    clock.advance(1);
    assert.equal(passed.length, 1);
});

test("once the process is ready nothing is queued, and nothing is forwarded twice", () => {
    const { clock, state, passed, queue } = createQueue();
    queue.take(testRequest());
    state.isReady = true;
    queue.release();
    queue.take(testRequest());
    clock.advance(1_000);
    assert.equal(passed.length, 2);
});

test("the request of a caller that has disconnected is dropped", () => {
    const { state, passed, queue } = createQueue();
    queue.take(testRequest(true));
    state.isReady = true;
    queue.release();
    assert.equal(passed.length, 0);
});

test("at most 400 requests are queued", () => {
    const { passed, queue } = createQueue();
    Array.from({ length: 403 }, () => queue.take(testRequest()));
    assert.equal(passed.length, 3);
});

test("a process that has been ready queues nothing, even if it loses its state", () => {
    const { state, passed, queue } = createQueue();
    state.isReady = true;
    queue.release();
    state.isReady = false;
    queue.take(testRequest());
    assert.equal(passed.length, 1);
});
