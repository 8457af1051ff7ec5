import { change, ended, sent, testPlantedViolations } from "../../testing/testPlantedViolations.js";

testPlantedViolations({
    "a token delivered twice": {
        rule: "delivery",
        request: "resumed",
        apply: history => change(history, "tokens.sent", sent("resumed", 2), event => [event, event]),
    },
    "a token changed": {
        rule: "delivery",
        request: "resumed",
        apply: history => change(history, "tokens.sent", sent("resumed", 2), event => [event, { ...event, ids: [99] }]),
    },
    "a token left out": {
        rule: "delivery",
        request: "resumed",
        apply: history => change(history, "tokens.sent", sent("resumed", 1), () => []),
    },
    "a token after the end": {
        rule: "delivery",
        request: "resumed",
        apply: history =>
            change(history, "request.ended", ended("resumed"), event => [
                { ...event, tokens: undefined },
                { event: "tokens.sent", request: "resumed", epoch: 1, position: 7, ids: [1] },
            ]),
    },
    "a token from an older attempt": {
        rule: "delivery",
        request: "resumed",
        apply: history => change(history, "tokens.sent", sent("resumed", 5), event => [{ ...event, epoch: 0 }]),
    },
    "tokens from two entries": {
        rule: "delivery",
        message: /two processes/,
        request: "resumed",
        apply: history => {
            change(history, "tokens.sent", sent("resumed", 6), () => []);
            history.insert("entry-2", { event: "tokens.sent", request: "resumed", epoch: 1, position: 6, ids: [6] });
        },
    },
    "a truncated answer": {
        rule: "delivery",
        request: "resumed",
        apply: history => change(history, "tokens.sent", sent("resumed", 6), () => []),
    },
    "tokens of a request that was not run": {
        rule: "delivery",
        request: "duplicate",
        apply: history =>
            change(history, "request.ended", ended("duplicate"), event => [
                { event: "tokens.sent", request: "duplicate", epoch: 0, position: 0, ids: [1] },
                event,
            ]),
    },
    "two ends": {
        rule: "delivery",
        request: "publish",
        apply: history => change(history, "request.ended", ended("publish"), event => [event, event]),
    },
    "no end": {
        rule: "delivery",
        request: "publish",
        apply: history => change(history, "request.ended", ended("publish"), () => []),
    },
    "another caller's answer": {
        rule: "answers",
        request: "caller resumed",
        apply: history =>
            change(
                history,
                "caller.ended",
                event => event.callerRequest === "caller resumed",
                event => [{ ...event, digest: "digest publish" }],
            ),
    },
    "a caller that saw no end": {
        rule: "answers",
        request: "caller resumed",
        apply: history => change(history, "caller.ended", event => event.callerRequest === "caller resumed", () => []),
    },
    "a caller that saw two ends": {
        rule: "answers",
        request: "caller resumed",
        apply: history =>
            change(
                history,
                "caller.ended",
                event => event.callerRequest === "caller resumed",
                event => [event, event],
            ),
    },
    "a caller and an entry with different outcomes": {
        rule: "answers",
        request: "caller publish",
        apply: history =>
            change(history, "request.ended", ended("publish"), event => [{ ...event, outcome: "unknown" }]),
    },
});
