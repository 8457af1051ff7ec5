import assert from "node:assert/strict";
import { test } from "node:test";
import { formatLosses, summarizeLosses } from "./summarizeLosses.js";

const head = (time: number) => `{"level":30,"time":${1_783_155_900_000 + time},"process":"front-se-atl-1"`;

/** Lines as a gateway writes them, one with a prefix from a log collector. */
const logs = [
    `  24.6 front-se-atl-1 ${head(0)},"msg":"process: listening"}`,
    `${
        head(1_200)
    },"request":"a1","chain":"se-bhm","reason":"10.2.64.41:8428 is silent","events":12,"msg":"request: attempt failed"}`,
    `${
        head(2_100)
    },"request":"a1","outcome":"served 44 events","status":200,"longestPause":257,"msg":"request: request ended"}`,
    `${
        head(2_300)
    },"request":"a2","outcome":"served 9 events","status":200,"longestPause":41,"msg":"request: request ended"}`,
    `${
        head(2_400)
    },"request":"a3","outcome":"no-capacity: refused with 503 at 10.2.64.34:8104","status":503,"msg":"request: request ended"}`,
    `${
        head(3_100)
    },"request":"a4","outcome":"no-capacity: refused with 503 at 10.3.64.49:8104","status":503,"msg":"request: request ended"}`,
    `${head(3_200)},"request":"a5","outcome":"caller left","status":0,"msg":"request: request ended"}`,
    "torn {\"level\":30",
];

test("losses are counted by cause and second, the most frequent first", () => {
    const { requests, losses, unreadable } = summarizeLosses(logs);
    assert.equal(requests, 5);
    assert.equal(unreadable, 1);
    assert.deepEqual(losses.map(({ cause, count }) => [cause, count]), [
        ["no-capacity: refused with 503 at a target", 2],
        ["interrupted for over 200 ms after \"a target is silent\"", 1],
        ["caller left", 1],
    ]);
    assert.deepEqual([...losses[0]?.seconds ?? []], [[2, 1], [3, 1]]);
});

test("the pause limit can be set", () => {
    const causes = summarizeLosses(logs, { pause: 300 }).losses.map(({ cause }) => cause);
    assert.ok(causes.every(cause => !cause.startsWith("interrupted")));
});

test("answers that began late count if a limit is given, by the data centre of their chain", () => {
    const ended = (request: string, dataCentre: string, firstByte: number) =>
        `${
            head(1_000)
        },"request":"${request}","status":200,"dataCentre":"${dataCentre}","firstByte":${firstByte},"longestPause":300,"msg":"request: request ended"}`;
    const lines = [ended("d1", "x", 700), ended("d2", "x", 900), ended("d3", "y", 701), ended("d4", "y", 400)];
    const causes = summarizeLosses(lines, { firstByte: 600 }).losses.map(({ cause, count }) => [cause, count]);
    assert.deepEqual(causes, [
        ["began after over 600 ms in x", 2],
        ["began after over 600 ms in y", 1],
        ["interrupted for over 200 ms", 1],
    ]);
    assert.deepEqual(summarizeLosses(lines).losses.map(({ count }) => count), [4]);
});

test("an answer that arrived in time but was delivered late was delayed on the way to the caller", () => {
    const line = `${
        head(1_000)
    },"request":"b1","status":200,"longestPause":40,"deliveredPause":900,"msg":"request: request ended"}`;
    const causes = summarizeLosses([line]).losses.map(({ cause }) => cause);
    assert.deepEqual(causes, ["held up for over 200 ms on the way to the caller"]);
});

test("a truncated answer counts, with the reason and the cause of giving it up", () => {
    const lines = [
        `${head(900)},"request":"c1","reason":"ECONNRESET","msg":"request: attempt failed"}`,
        `${head(950)},"request":"c1","cause":"target","msg":"request: answer given up"}`,
        `${
            head(1_000)
        },"request":"c1","outcome":"broken off: no chain is left","status":200,"longestPause":40,"msg":"request: request ended"}`,
    ];
    const causes = summarizeLosses(lines).losses.map(({ cause }) => cause);
    assert.deepEqual(causes, ["broken off: no chain is left after \"ECONNRESET\", given up: target"]);
});

test("a summary without log lines reports 0 requests", () => {
    assert.equal(formatLosses(summarizeLosses([])), "0 requests\n0 lines could not be read\n");
});

test("a header of targets that nothing reads is reported with the processes that saw it", () => {
    const line = (process: string) =>
        `{"level":40,"time":1,"process":"${process}","header":"server-mood","msg":"targets: reply has an unknown header"}`;
    const summary = summarizeLosses([line("a"), line("b"), line("a")]);
    assert.match(formatLosses(summary), /"server-mood", which nothing reads \(seen by 2 processes\)/);
});
