import assert from "node:assert/strict";
import { test } from "node:test";
import { explainRequest, formatExplanation } from "./explainRequest.js";

const line = (time: number, process: string, msg: string, fields: object = {}) =>
    JSON.stringify({ level: 30, time, process, msg, ...fields });

const logs = [
    line(1_000, "a", "configuration: configuration in force", { version: 2 }),
    line(2_000, "a", "configuration: configuration in force", { version: 5 }),
    line(2_500, "b", "process: store lost", { table: "op" }),
    `  12.5 a ${line(3_000, "a", "request: attempt failed", { request: "r1", reason: "ECONNRESET" })}`,
    line(2_900, "a", "chains: chain stalled", { chain: "x" }),
    line(3_100, "a", "request: request ended", { request: "r1", status: 502 }),
    line(3_050, "a", "request: request ended", { request: "r2", status: 200 }),
    line(4_000, "a", "configuration: configuration in force", { version: 9 }),
    "not a log line",
    "{\"broken\":",
];

test("the timeline holds the request's own lines in order, whatever prefix they have", () => {
    const { timeline } = explainRequest("r1", logs);
    assert.deepEqual(timeline.map(({ msg }) => msg), ["request: attempt failed", "request: request ended"]);
});

test("contexts hold the newest state before the end, of the processes that handled the request", () => {
    const { contexts } = explainRequest("r1", logs);
    assert.deepEqual([...contexts.keys()], ["a"]);
    const [configuration, stall] = contexts.get("a") ?? [];
    assert.equal(configuration?.["version"], 5);
    assert.equal(stall?.msg, "chains: chain stalled");
});

test("lines that cannot be read are counted", () => {
    assert.equal(explainRequest("r1", logs).unreadable, 2);
});

test("a request that no line names is reported as unknown", () => {
    assert.match(formatExplanation("r9", explainRequest("r9", logs)), /no line names it; 2 lines/);
});

test("the timeline includes crashes and judgements of other attempts with the same digest", () => {
    const attempts = [
        line(1_000, "b", "request: target crashed under a run", { request: "r0", digest: "d", target: "t" }),
        line(1_100, "b", "request: attempt failed", { request: "r0", digest: "d" }),
        line(1_200, "c", "request: suspect request judged", { digest: "d", verdict: "condemned" }),
        line(1_300, "c", "request: suspect request judged", { digest: "other", verdict: "granted" }),
        line(1_400, "a", "request: request ended", { request: "r1", digest: "d", status: 503 }),
    ];
    const { timeline, contexts } = explainRequest("r1", attempts);
    assert.deepEqual(timeline.map(({ time }) => time), [1_000, 1_200, 1_400]);
    assert.deepEqual([...contexts.keys()], ["a"]);
});

test("the timeline includes judgements of the parts of the prompt, not those of other parts", () => {
    const judgements = [
        line(1_000, "b", "request: part is suspect", { request: "r0", part: "+p", crashes: 3 }),
        line(1_100, "c", "request: suspect part judged", { part: "+p", verdict: "condemned" }),
        line(1_200, "c", "request: suspect part judged", { part: "+q", verdict: "granted" }),
        line(1_300, "a", "request: request ended", { request: "r1", parts: ["+o", "+p"], status: 503 }),
    ];
    assert.deepEqual(explainRequest("r1", judgements).timeline.map(({ time }) => time), [1_000, 1_100, 1_300]);
});

test("the context of a refusal for rest includes the rests that targets asked for", () => {
    const restLogs = [
        line(1_000, "a", "targets: rest asked for", { target: "t", request: "r0", duration: 3_000, left: 0 }),
        line(1_400, "a", "request: request ended", { request: "r1", outcome: "targets-resting: all targets rest" }),
    ];
    const { contexts } = explainRequest("r1", restLogs);
    assert.deepEqual(contexts.get("a")?.map(({ msg }) => msg), ["targets: rest asked for"]);
});

test("the context includes a store that was restored from a copy", () => {
    const restoreLogs = [
        line(1_000, "a", "process: store came back from a copy", { era: 2, before: 1 }),
        line(1_010, "a", "process: table read after a copy", { table: "op", doubt: 9 }),
        line(1_400, "a", "request: request ended", { request: "r1", status: 200 }),
    ];
    const { contexts } = explainRequest("r1", restoreLogs);
    assert.deepEqual(contexts.get("a")?.map(({ msg }) => msg), [
        "process: store came back from a copy",
        "process: table read after a copy",
    ]);
});
