import assert from "node:assert/strict";
import { test } from "node:test";
import { type CallEnd } from "../run/CallEnd.js";
import { type LoadRecord } from "../run/runLoad.js";
import { formatMarkdown } from "./formatMarkdown.js";
import { summarize } from "./LoadSummary.js";
import { plotLatencies } from "./plotLatencies.js";

const bounds = { firstToken: 540, token: 72, share: 0.95 };

function record(end: Partial<CallEnd>): LoadRecord {
    const call = { at: 0, kind: "model", caller: { name: "anonymous" }, path: "/v1/completions" } as const;
    const whole: CallEnd = { outcome: "completed", pieceTimes: [], ...end };
    return { call, end: whole, dueAt: 0, sentAt: 0, endedAt: 4000 };
}

/** An answer of 101 tokens. The first `late` intervals between tokens take 80 ms, the others 20 ms. */
function answer(first: number, late: number): Partial<CallEnd> {
    const pieceTimes = [first];
    for (let index = 0; index < 100; index++) {
        pieceTimes.push((pieceTimes[index] ?? 0) + (index < late ? 80 : 20));
    }
    return { pieceTimes, promptTokens: 10, answerTokens: 101 };
}

test("an answer is within the bounds when it begins in time and 95 of 100 tokens follow in time", () => {
    const goodOf = (end: Partial<CallEnd>): number => summarize([record(end)], bounds).good.count;
    assert.deepEqual([goodOf(answer(540, 5)), goodOf(answer(541, 5)), goodOf(answer(540, 6))], [1, 0, 0]);
    assert.equal(goodOf({ ...answer(10, 0), outcome: "refused", code: 1301 }), 0);
});

test("the report lists outcomes by result code and the figures of the run", () => {
    const refused = record({ outcome: "refused", code: 1001 });
    const summary = summarize([record(answer(100, 0)), refused, record(answer(700, 0))], bounds);
    assert.deepEqual([summary.good.count, summary.seconds, summary.tokenRate], [1, 4, 50.5]);
    const markdown = formatMarkdown("Trial", ["one note"], summary);
    const code = Object.keys(summary.outcomes).find(name => name.startsWith("1001 "));
    assert.ok(code !== undefined && markdown.includes(`| ${code} | 1 |`));
    assert.match(markdown, /\| between tokens \| 200 \| 20\.0 \|/);
    assert.match(markdown, /1 requests, 33\.3% of those planned, 0\.25\/s/);
});

test("the plot is one SVG with a curve for each kind of latency", () => {
    const svg = plotLatencies("Trial", summarize([record(answer(100, 0))], bounds));
    assert.match(svg, /^<svg [\s\S]*<\/svg>$/);
    for (const text of ["Trial", "first token", "between tokens", "whole answer", "540 ms", "72 ms"]) {
        assert.ok(svg.includes(text), text);
    }
});

test("a run without calls has a report", () => {
    const summary = summarize([], bounds);
    assert.deepEqual([summary.seconds, summary.good.share, summary.firstToken.max], [0, 0, 0]);
    assert.match(formatMarkdown("Nothing", [], summary), /0 calls/);
});
