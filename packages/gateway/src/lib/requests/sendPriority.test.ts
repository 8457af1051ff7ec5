import assert from "node:assert/strict";
import { test } from "node:test";
import { plainRoute } from "../testing/SimulatedRouter.js";
import { rankOf, sendPriority } from "./sendPriority.js";

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
    assert.deepEqual([0, 1, 2].map(rank => priorityOf({ rank, ofOrganisation: 0 })), [2, 3, 4]);
    assert.deepEqual([0, 1, 2].map(rank => priorityOf({ rank, ofOrganisation: 1 })), [5, 6, 7]);
});

test("ranks order requests by organisation first, then by route", () => {
    const rank = (ofRoute: number, ofOrganisation?: number) =>
        rankOf({
            organisation: { name: "o", keys: [], priority: ofOrganisation },
            route: { ...plainRoute, priority: ofRoute },
        });
    const ranks = [rank(0, 0), rank(2, 0), rank(0, 1), rank(1), rank(2, 1), rank(0, 2)];
    assert.deepEqual(ranks, ranks.toSorted((a, b) => a - b));
    assert.deepEqual([rank(0), rank(9, 0)], [0, 9]);
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
