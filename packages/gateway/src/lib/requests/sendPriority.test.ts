import assert from "node:assert/strict";
import { test } from "node:test";
import { plainRoute } from "../testing/SimulatedRouter.js";
import { sendPriority } from "./sendPriority.js";

function priorityOf(
    { rank = 0, ofOrganisation = undefined as number | undefined, hasBegun = false, prompt = 0, isOn = true },
) {
    const organisation = { name: "o", keys: [], priority: ofOrganisation };
    const tokens = { prompt, maxAnswer: 1 };
    const request = {
        tokens,
        id: undefined,
        timeLeft: 1,
        key: undefined,
        lastEventId: undefined,
        sharedParts: [],
        answerLengthHint: undefined,
    };
    return sendPriority({
        caller: { organisation, request, route: { ...plainRoute, priority: rank } },
        precedence: hasBegun ? "running" : "waiting",
        hasBegun,
        isOn: mechanism => isOn || mechanism !== "slot-admission",
    });
}

test("new requests are sent with their rank, an organisation's before its route's", () => {
    assert.deepEqual([0, 2, 7, 100].map(rank => priorityOf({ rank })), [2, 4, 9, 9]);
    assert.equal(priorityOf({ rank: 2, ofOrganisation: 0 }), 2);
});

test("resumed streams are sent before all new requests, those with short prompts first", () => {
    assert.deepEqual([0, 400, 100_000].map(prompt => priorityOf({ hasBegun: true, prompt })), [0, 1, 1]);
});

test("without slots only resumed streams have a priority, as before", () => {
    assert.deepEqual([priorityOf({ isOn: false }), priorityOf({ isOn: false, hasBegun: true, prompt: 400 })], [
        undefined,
        2,
    ]);
});
