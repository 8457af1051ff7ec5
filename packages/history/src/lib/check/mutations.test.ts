import fc from "fast-check";
import assert from "node:assert/strict";
import test from "node:test";
import { HistoryBuilder } from "../../testing/HistoryBuilder.js";
import { sampleHistory } from "../../testing/sampleHistory.js";
import { addSampleRequest, type SampleAttempt, type SampleRequest } from "../../testing/sampleRequest.js";
import { checkHistory } from "../checkHistory.js";
import { type HistoryLine } from "../HistoryEvent.js";
import { getIncarnationKey } from "./Recordings.js";
import { addTo } from "./Rule.js";

/** Model requests on random chains, with random reuse, chunk sizes and failed attempts. */
const requests: fc.Arbitrary<SampleRequest> = fc.integer({ min: 1, max: 16 }).chain(layers => {
    const cuts = fc.uniqueArray(fc.integer({ min: 1, max: Math.max(1, layers - 1) }), { maxLength: 3 });
    const attempt = fc.record({
        cuts,
        cached: fc.array(fc.integer({ min: 0, max: 2 }), { minLength: 4, maxLength: 4 }),
        tokens: fc.integer({ min: 1, max: 6 }),
    });
    return fc.record({
        promptTokens: fc.integer({ min: 33, max: 60 }),
        chunk: fc.integer({ min: 1, max: 40 }),
        attempts: fc.array(attempt, { minLength: 1, maxLength: 3 }),
    }).map(({ promptTokens, chunk, attempts }) => ({
        request: "random",
        entry: "entry-1",
        layers,
        promptTokens,
        chunk,
        attempts: attempts.map((choice, epoch) => attemptOf(layers, epoch, choice)),
    }));
});

interface AttemptChoice {
    readonly cuts: readonly number[];
    readonly cached: readonly number[];
    readonly tokens: number;
}

function attemptOf(layers: number, epoch: number, { cuts, cached, tokens }: AttemptChoice): SampleAttempt {
    const starts = [0, ...cuts.filter(cut => cut < layers).sort((a, b) => a - b)];
    const stages = starts.map((first, index) => ({
        target: `target-${epoch}-${index}`,
        first,
        last: (starts[index + 1] ?? layers) - 1,
        cached: (cached[index] ?? 0) * 16,
    }));
    return { stages, tokens };
}

function historyOf(request: SampleRequest): HistoryBuilder {
    const history = new HistoryBuilder();
    addSampleRequest(history, request);
    history.close();
    return history;
}

const mutations = ["drop", "duplicate", "swap"] as const;

/** Drops, duplicates or swaps one `layers.run` line, and renumbers the lines. */
function mutate(history: HistoryBuilder, mutation: (typeof mutations)[number], choice: number): void {
    const runs = history.lines().filter(({ body }) => body.event === "layers.run");
    const chosen = runs[choice % runs.length];
    assert.ok(chosen !== undefined);
    const next = runs.find(line => line.process === chosen.process && line.sequence > chosen.sequence);
    history.edit(line => line === chosen || (mutation === "swap" && line === next), line => {
        if (mutation === "duplicate") {
            return [line.body, line.body];
        }
        if (mutation === "swap" && next !== undefined) {
            return [line === chosen ? next.body : chosen.body];
        }
        return [];
    });
}

test("a random valid history passes", () => {
    fc.assert(fc.property(requests, request => {
        const { violations, rules } = checkHistory(historyOf(request).lines());
        assert.deepEqual(violations, []);
        assert.equal(rules.layers.undecided, 0);
    }));
});

test("a layers.run line dropped, repeated or swapped is caught", () => {
    fc.assert(
        fc.property(requests, fc.constantFrom(...mutations), fc.nat(), (request, mutation, choice) => {
            const history = historyOf(request);
            mutate(history, mutation, choice);
            const { violations } = checkHistory(history.lines());
            assert.ok(violations.some(({ rule }) => rule === "layers"));
        }),
        { numRuns: 1000 },
    );
});

test("a tokens.sent line dropped or repeated is caught", () => {
    fc.assert(fc.property(requests, fc.boolean(), fc.nat(), (request, drop, choice) => {
        const history = historyOf(request);
        const sent = history.lines().filter(({ body }) => body.event === "tokens.sent");
        const chosen = sent[choice % sent.length];
        history.edit(line => line === chosen, ({ body }) => drop ? [] : [body, body]);
        const { violations } = checkHistory(history.lines());
        assert.ok(violations.some(({ rule }) => rule === "delivery"));
    }));
});

/** Interleaves the histories of the incarnations at random, each in its recorded order. */
function merge(lines: readonly HistoryLine[], choices: readonly number[]): HistoryLine[] {
    const files = new Map<string, HistoryLine[]>();
    lines.forEach(line => addTo(files, getIncarnationKey(line), line));
    const left = [...files.values()];
    const merged: HistoryLine[] = [];
    for (let step = 0; left.length > 0; step++) {
        const index = (choices[step % choices.length] ?? 0) % left.length;
        merged.push(...(left[index]?.splice(0, 1) ?? []));
        if (left[index]?.length === 0) {
            left.splice(index, 1);
        }
    }
    return merged;
}

test("the order of lines of different processes does not matter", () => {
    const lines = sampleHistory().lines();
    const expected = checkHistory(lines).rules;
    fc.assert(fc.property(fc.array(fc.nat(), { minLength: 1, maxLength: 200 }), choices => {
        const { violations, rules } = checkHistory(merge(lines, choices));
        assert.deepEqual(violations, []);
        assert.deepEqual(rules, expected);
    }));
});

test("valid histories without their last lines show no violations", () => {
    const lines = sampleHistory().lines();
    const processes = [...new Set(lines.map(({ process }) => process))];
    const kept = fc.dictionary(fc.constantFrom(...processes), fc.integer({ min: 1, max: 30 }));
    fc.assert(
        fc.property(kept, cuts => {
            const left = lines.filter(line => line.sequence < (cuts[line.process] ?? Infinity));
            assert.deepEqual(checkHistory(left).violations, []);
        }),
        { numRuns: 500 },
    );
});
