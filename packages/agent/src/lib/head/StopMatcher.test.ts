import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { type AnswerToken, StopMatcher } from "./StopMatcher.js";

test("the text ends before the first stop string and contains no part of it, for any tokens", () => {
    const piece = fc.string({ unit: fc.constantFrom("a", "b", "c"), maxLength: 3 });
    const stops = fc.array(fc.string({ unit: fc.constantFrom("a", "b", "c"), minLength: 1, maxLength: 4 }), {
        maxLength: 3,
    });
    fc.assert(
        fc.property(fc.array(piece, { maxLength: 20 }), stops, (texts, stop) => {
            const matcher = new StopMatcher(stop);
            const sent: AnswerToken[] = [];
            let stopped = false;
            let taken = 0;
            let rest = "";
            for (const [id, text] of texts.entries()) {
                const result = matcher.push({ id, text });
                taken++;
                sent.push(...result.released);
                if (result.stopped) {
                    stopped = true;
                    rest = result.rest;
                    break;
                }
            }
            sent.push(...matcher.flush());
            const whole = texts.join("");
            const found = stop.map(value => whole.indexOf(value)).filter(index => index >= 0);
            assert.equal(stopped, found.length > 0);
            const text = found.length > 0 ? cutText(texts, stop, taken) : whole;
            assert.equal(textOf(sent) + rest, text);
            // The tokens sent are exactly the whole tokens before the stop string.
            assert.deepEqual(sent, texts.slice(0, sent.length).map((own, id) => ({ id, text: own })));
            const next = textOf(sent).length + (texts[sent.length]?.length ?? 0);
            assert.ok(sent.length === taken || next > text.length, "no token was left out before the stop string");
        }),
        { seed: 3, numRuns: 1000 },
    );
});

/** The text of the tokens pushed, up to its first stop string. */
function cutText(texts: readonly string[], stops: readonly string[], taken: number): string {
    const text = texts.slice(0, taken).join("");
    const first = Math.min(...stops.map(stop => text.indexOf(stop)).filter(index => index >= 0));
    return text.slice(0, first);
}

test("attempts that resume after the released tokens find every stop string without the earlier text", () => {
    const piece = fc.string({ unit: fc.constantFrom("a", "b"), maxLength: 3 });
    const stops = fc.array(fc.string({ unit: fc.constantFrom("a", "b"), minLength: 1, maxLength: 6 }), {
        maxLength: 3,
    });
    const losses = fc.array(fc.nat({ max: 8 }), { maxLength: 5 });
    fc.assert(
        fc.property(fc.array(piece, { maxLength: 20 }), stops, losses, (texts, stop, lives) => {
            const whole = sendOver(texts, stop, []);
            assert.equal(sendOver(texts, stop, lives), whole);
        }),
        { seed: 3, numRuns: 5000 },
    );
});

/** The text that is sent when each attempt but the last is lost after the given number of tokens. */
function sendOver(texts: readonly string[], stop: readonly string[], lives: readonly number[]): string {
    const sent: AnswerToken[] = [];
    for (const life of [...lives, texts.length]) {
        const matcher = new StopMatcher(stop);
        const taken = texts.slice(sent.length, sent.length + life);
        const first = sent.length;
        for (const [index, text] of taken.entries()) {
            const { released, stopped, rest } = matcher.push({ id: first + index, text });
            sent.push(...released);
            if (stopped) {
                return textOf(sent) + rest;
            }
        }
        if (first + taken.length === texts.length) {
            sent.push(...matcher.flush());
            return textOf(sent);
        }
    }
    return textOf(sent);
}

function textOf(tokens: readonly AnswerToken[]): string {
    return tokens.map(({ text }) => text).join("");
}
