import { always, change, ended, received, testPlantedViolations } from "../../testing/testPlantedViolations.js";

testPlantedViolations({
    "layers run for a refused request": {
        rule: "not-run",
        request: "duplicate",
        apply: history =>
            history.insert("target-a", {
                event: "layers.run",
                request: "duplicate",
                epoch: 0,
                target: "target-a",
                version: "7",
                first: 0,
                last: 3,
                position: 0,
                count: 1,
            }),
    },
    "layers run for a request that only its caller saw refused": {
        rule: "not-run",
        request: "resumed",
        apply: history =>
            change(
                history,
                "caller.ended",
                event => event.callerRequest === "caller resumed",
                event => [{ ...event, outcome: "not run" }],
            ),
    },
    "a refused call that ran": {
        rule: "not-run",
        request: "call 0",
        apply: history =>
            change(history, "request.ended", ended("call 0"), event => [{ ...event, outcome: "not run" }]),
    },
    "a refused call that had an effect": {
        rule: "not-run",
        request: "call 0",
        apply: history => {
            change(history, "request.ended", ended("call 0"), event => [{ ...event, outcome: "not run" }]);
            change(history, "service.run", event => event.request === "call 0", () => []);
        },
    },
    "a call forwarded twice": {
        rule: "at-most-once",
        request: "call 1",
        apply: history => change(history, "service.run", event => event.request === "call 1", event => [event, event]),
    },
    "a call forwarded by two requests with one key": {
        rule: "at-most-once",
        request: "call 0",
        apply: history => {
            change(history, "request.received", received("call 1"), event => [{ ...event, key: "order 1" }]);
            change(
                history,
                "service.run",
                event => event.request === "call 1",
                event => [{ ...event, key: "order 1" }],
            );
        },
    },
    "an effect twice": {
        rule: "at-most-once",
        request: "call 0",
        apply: history =>
            history.insert("records", { event: "service.effect", service: "records", key: "order 1", run: 3 }),
    },
    "an effect twice without a line of any entry": {
        rule: "at-most-once",
        apply: history => {
            change(history, "request.received", received("call 0"), () => []);
            change(history, "request.received", received("refused call"), () => []);
            change(history, "service.run", event => event.request === "call 0", () => []);
            history.insert("records", { event: "service.effect", service: "records", key: "order 1", run: 3 });
        },
    },
    "two heads of one request": {
        rule: "at-most-once",
        request: "publish",
        apply: history =>
            history.insert("target-d", {
                event: "layers.run",
                request: "publish",
                epoch: 1,
                target: "target-d",
                version: "7",
                first: 0,
                last: 3,
                position: 0,
                count: 9,
            }),
    },
    "two model requests with one key": {
        rule: "at-most-once",
        request: "resumed",
        apply: history =>
            change(
                history,
                "request.received",
                received("resumed"),
                event => [{ ...event, idempotent: false, key: "model key" }],
            ),
    },
    "two heads without a key": {
        rule: "at-most-once",
        request: "publish",
        apply: history => {
            change(history, "request.received", received("publish"), event => [{ ...event, key: undefined }]);
            history.insert("target-b", {
                event: "layers.run",
                request: "publish",
                epoch: 1,
                target: "target-b",
                version: "7",
                first: 0,
                last: 3,
                position: 0,
                count: 9,
            });
        },
    },
    "work accepted by a target that left": {
        rule: "leaving",
        request: "too late",
        apply: history => {
            history.time -= 13_000 + 29;
            history.insert("target-b", { event: "work.accepted", request: "too late", epoch: 0, target: "target-b" });
        },
    },
    "a stop that interrupted requests": {
        rule: "stops",
        apply: history => change(history, "process.stopped", always, event => [{ ...event, interrupted: 2 }]),
    },
    "a return to an older revision": {
        rule: "configuration",
        apply: history => history.insert("entry-1", { event: "config.applied", revision: 2, digest: "revision 2" }),
    },
    "a revision applied twice": {
        rule: "configuration",
        apply: history => history.insert("entry-1", { event: "config.applied", revision: 3, digest: "revision 3" }),
    },
    "a revision with two contents": {
        rule: "configuration",
        apply: history =>
            change(
                history,
                "config.applied",
                event => event.revision === 2,
                event => [{ ...event, digest: "other" }],
            ),
    },
    "a revision never accepted": {
        rule: "configuration",
        apply: history => history.insert("entry-1", { event: "config.applied", revision: 4, digest: "revision 4" }),
    },
    "a revision not in force in time": {
        rule: "configuration",
        apply: history =>
            history.edit(
                ({ process, body }) => process === "target-a" && body.event === "config.applied" && body.revision === 3,
                () => [],
            ),
    },
    "a stale fencing token": {
        rule: "orders",
        apply: history =>
            history.insert("target-c", {
                event: "order.applied",
                order: "late",
                fence: 4,
                target: "target-c",
            }),
    },
    "a stale fencing token after a restart of the gate": {
        rule: "orders",
        apply: history => {
            history.add("target-c#2", { event: "order.applied", order: "late", fence: 4, target: "target-c" });
            history.close();
        },
    },
    "an order applied twice": {
        rule: "orders",
        apply: history => change(history, "order.applied", event => event.order === "unload", event => [event, event]),
    },
    "a write that took effect twice": {
        rule: "writes",
        apply: history => history.insert("store", { event: "write.effect", writeId: "w1" }),
    },
    "a line lost inside a history": {
        rule: "recording",
        apply: history => void history.file("entry-1").splice(3, 1),
    },
    "a line recorded twice": {
        rule: "recording",
        apply: history => void history.file("store").splice(2, 0, ...history.file("store").slice(1, 2)),
    },
});
