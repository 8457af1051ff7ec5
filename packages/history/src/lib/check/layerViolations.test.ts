import {
    always,
    change,
    ended,
    type Event,
    layersRunAt,
    received,
    sent,
    testPlantedViolations,
} from "../../testing/testPlantedViolations.js";

testPlantedViolations({
    "a layer range never ran": {
        rule: "layers",
        request: "publish",
        apply: history =>
            history.edit(
                ({ body }) => body.event === "layers.run" && body.request === "publish" && body.first === 4,
                () => [],
            ),
    },
    "a position missing in the middle": {
        rule: "layers",
        request: "resumed",
        apply: history => change(history, "layers.run", layersRunAt("resumed", 0, 24, 4), () => []),
    },
    "a position missing at the end": {
        rule: "layers",
        request: "resumed",
        apply: history => change(history, "layers.run", layersRunAt("resumed", 1, 45, 4), () => []),
    },
    "a position run twice": {
        rule: "layers",
        request: "resumed",
        apply: history => change(history, "layers.run", layersRunAt("resumed", 0, 24, 8), event => [event, event]),
    },
    "positions swapped": {
        rule: "layers",
        request: "resumed",
        apply: history =>
            history.edit(
                ({ body }) =>
                    body.event === "layers.run" && body.request === "resumed" && body.first === 0
                    && (body.position === 24 || body.position === 32),
                ({ body }) => {
                    const run = body as Event<"layers.run">;
                    return [{ ...run, position: run.position === 24 ? 32 : 24 }];
                },
            ),
    },
    "a layer run by two targets": {
        rule: "layers",
        request: "publish",
        apply: history =>
            history.edit(
                ({ body }) => body.event === "layers.run" && body.request === "publish" && body.first === 4,
                ({ body }) => [{ ...body as Event<"layers.run">, first: 3 }],
            ),
    },
    "upper layers before lower ones in one process": {
        rule: "layers",
        request: "publish",
        apply: history =>
            history.edit(
                ({ body }) => body.event === "layers.run" && body.request === "publish" && body.first === 4,
                ({ body }) => {
                    const run = body as Event<"layers.run">;
                    return [{ ...run, first: 8 }, { ...run, last: 7 }];
                },
            ),
    },
    "stages that do not follow the order of the chain": {
        rule: "layers",
        request: "publish",
        apply: history =>
            change(
                history,
                "attempt.started",
                event => event.request === "publish",
                event => [{ ...event, targets: [...event.targets].reverse() }],
            ),
    },
    "a layer that the model does not have": {
        rule: "layers",
        request: "publish",
        apply: history =>
            history.edit(
                ({ body }) => body.event === "layers.run" && body.request === "publish" && body.first === 4,
                ({ body }) => [{ ...body as Event<"layers.run">, last: 12 }],
            ),
    },
    "two versions in one attempt": {
        rule: "layers",
        request: "publish",
        apply: history =>
            history.edit(
                ({ body }) => body.event === "layers.run" && body.request === "publish" && body.first === 4,
                ({ body }) => [{ ...body as Event<"layers.run">, version: "8" }],
            ),
    },
    "two versions in one answer": {
        rule: "layers",
        request: "resumed",
        apply: history =>
            history.edit(
                ({ body }) => body.event === "layers.run" && body.request === "resumed" && body.epoch === 1,
                ({ body }) => [{ ...body as Event<"layers.run">, version: "8" }],
            ),
    },
    "a KV cache of another version": {
        rule: "layers",
        request: "resumed",
        apply: history => change(history, "layers.reused", always, event => [{ ...event, version: "6" }]),
    },
    "too little reused": {
        rule: "layers",
        request: "resumed",
        apply: history => change(history, "layers.reused", always, event => [{ ...event, count: 15 }]),
    },
    "a prompt of two lengths": {
        rule: "layers",
        request: "resumed",
        apply: history =>
            change(
                history,
                "prompt.read",
                event => event.epoch === 1,
                event => [{ ...event, tokens: event.tokens - 1 }],
            ),
    },
    "a duplicate that delivered more than was computed": {
        rule: "layers",
        request: "follower",
        apply: history => {
            change(history, "tokens.sent", sent("follower", 0), event => [{ ...event, ids: [0, 1, 2, 3] }]);
            change(history, "request.ended", ended("follower"), event => [{ ...event, tokens: 4 }]);
        },
    },
    "a duplicate without a request that ran layers": {
        rule: "layers",
        request: "follower",
        apply: history =>
            change(
                history,
                "request.received",
                received("follower"),
                event => [{ ...event, key: "another key" }],
            ),
    },
});
