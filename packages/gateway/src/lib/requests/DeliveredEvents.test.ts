import { ManualClock } from "@waxwingspar/utils";
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { DeliveredEvents } from "./DeliveredEvents.js";
import { EventSplitter } from "./EventSplitter.js";

/** Takes the bytes of runs as a gateway does, each run cut into reads. @returns The ids that the caller gets. */
function deliver(
    runs: readonly { readonly text: string; readonly cuts: readonly number[]; }[],
): (string | undefined)[] {
    const delivered = new DeliveredEvents(new ManualClock(), undefined);
    const ids: (string | undefined)[] = [];
    for (const { text, cuts } of runs) {
        const splitter = new EventSplitter();
        let rest = Buffer.from(text);
        for (const cut of [...cuts, rest.length]) {
            const events = delivered.selectNew(splitter.push(rest.subarray(0, cut)));
            rest = rest.subarray(cut);
            if (events.length > 0) {
                delivered.add(events);
                ids.push(...events.map(({ id }) => id));
            }
        }
    }
    return ids;
}

function eventText(id: string | undefined): string {
    return id === undefined ? "data: x\n\n" : `id: ${id}\ndata: x\n\n`;
}

test("an event that comes again in the same read, or after one without an id, is not forwarded", () => {
    const text = ["0", "0", "1", undefined, "1", "0", "3", "2"].map(eventText).join("");
    assert.deepEqual(deliver([{ text, cuts: [] }]), ["0", "1", undefined, "3"]);
    const cuts = Array.from({ length: text.length }, () => 1);
    assert.deepEqual(deliver([{ text, cuts }]), ["0", "1", undefined, "3"]);
});

test("with numbers as ids, what a caller gets rises strictly over all runs and reads, whatever targets send", () => {
    const id = fc.option(fc.oneof(fc.nat({ max: 12 }).map(String), fc.constantFrom("a", "-1", "1e9", "")), {
        nil: undefined,
        freq: 6,
    });
    const run = fc.record({
        text: fc.array(id, { maxLength: 30 }).map(ids => ids.map(eventText).join("")),
        cuts: fc.array(fc.nat({ max: 40 }), { maxLength: 20 }),
    });
    fc.assert(fc.property(fc.array(run, { maxLength: 4 }), runs => {
        const ids = deliver(runs).filter(one => one !== undefined);
        const firstNumber = ids.findIndex(one => /^\d+$/.test(one));
        const numbers = firstNumber === -1 ? [] : ids.slice(firstNumber).map(Number);
        assert.ok(numbers.every((number, index) => index === 0 || number > numbers[index - 1]!), ids.join(" "));
    }));
});
