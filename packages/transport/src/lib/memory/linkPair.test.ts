import { ManualClock, transportCodes } from "@waxwingspar/utils";
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { Result } from "true-myth";
import { type Link } from "../Link.js";
import { type Hello } from "../messages/common.js";
import { type Message } from "../messages/Message.js";
import { linkPair } from "./linkPair.js";

function hello(process: string): Hello {
    return { type: "hello", protocol: 1, process, role: "agent", incarnation: "1", dataCentre: "a" };
}

function pairOn(clock: ManualClock, delay = 0) {
    const methods = { echo: async (params: unknown) => Result.ok(params) };
    return linkPair({ left: { hello: hello("left") }, right: { hello: hello("right"), methods }, clock, delay });
}

function epochsOf(link: Link): number[] {
    const epochs: number[] = [];
    link.onMessage(message => epochs.push(message.type === "cancel" ? message.epoch : -1));
    return epochs;
}

const cancel = (epoch: number): Message => ({ type: "cancel", request: "r", epoch });

test("messages arrive after the delay", () => {
    const clock = new ManualClock();
    const { left, right } = pairOn(clock, 5);
    const epochs = epochsOf(right);
    left.send(cancel(1));
    clock.advance(4);
    assert.deepEqual(epochs, []);
    clock.advance(1);
    assert.deepEqual(epochs, [1]);
});

test("order holds over any mix of delays and holds", async () => {
    const step = fc.oneof(
        fc.record({ kind: fc.constant("send" as const), delay: fc.integer({ min: 0, max: 9 }) }),
        fc.record({ kind: fc.constantFrom("hold" as const, "release" as const, "advance" as const) }),
    );
    await fc.assert(fc.asyncProperty(fc.array(step), async steps => {
        const clock = new ManualClock();
        const { left, right, leftToRight } = pairOn(clock);
        const epochs = epochsOf(right);
        let sent = 0;
        for (const current of steps) {
            if (current.kind === "send") {
                leftToRight.delay = current.delay;
                left.send(cancel(sent++));
            }
            else if (current.kind === "advance") {
                clock.advance(3);
            }
            else {
                leftToRight[current.kind]();
            }
            await Promise.resolve();
        }
        leftToRight.release();
        clock.advance(100);
        assert.deepEqual(epochs, Array.from({ length: sent }, (_, epoch) => epoch));
    }));
});

test("a cut loses what is in flight and ends calls as unknown", async () => {
    const clock = new ManualClock();
    const pair = pairOn(clock);
    pair.rightToLeft.hold();
    const call = pair.left.request("echo", 1, 1000);
    pair.cut();
    const outcome = await call;
    assert.equal(outcome.isErr && outcome.error.code, transportCodes.connectionLost);
    pair.rightToLeft.release();
    assert.equal(pair.left.open || pair.right.open, false);
});

test("a message that fails its schema closes both ends", async () => {
    const { left, right } = pairOn(new ManualClock());
    left.send({ type: "credit", request: "r", epoch: -1, upTo: 1 });
    await Promise.resolve();
    assert.equal(left.open || right.open, false);
});
