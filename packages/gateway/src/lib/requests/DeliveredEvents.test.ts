import { ManualClock } from "@waxwingspar/utils";
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { DeliveredEvents } from "./DeliveredEvents.js";
import { EventSequence } from "./EventSequence.js";
import { EventSplitter, type StreamEvent } from "./EventSplitter.js";

interface Run {
    readonly text: string;
    /** Where the text is cut into reads. */
    readonly cuts: readonly number[];
}

/** What became of runs: the ids that the caller got, and why the last run was ended. */
interface Delivery {
    readonly ids: (string | undefined)[];
    readonly bytes: string;
    readonly contradiction: string | undefined;
    readonly isDeliveredInDoubt: boolean;
}

/** Takes the bytes of runs as a gateway does, until one contradicts itself. */
function deliverRun(delivered: DeliveredEvents, { text, cuts }: Run): Delivery {
    const sequence = new EventSequence(delivered);
    const splitter = new EventSplitter();
    const ids: (string | undefined)[] = [];
    let bytes = "";
    const add = (events: readonly StreamEvent[]) => {
        delivered.add(events);
        ids.push(...events.map(({ id }) => id));
        bytes += events.map(event => event.bytes.toString()).join("");
    };
    let rest = Buffer.from(text);
    for (const cut of [...cuts, rest.length]) {
        const { events, contradiction, isDeliveredInDoubt } = sequence.take(splitter.push(rest.subarray(0, cut)));
        rest = rest.subarray(cut);
        add(events);
        if (contradiction !== undefined) {
            return { ids, bytes, contradiction, isDeliveredInDoubt };
        }
    }
    add(sequence.release());
    return { ids, bytes, contradiction: undefined, isDeliveredInDoubt: false };
}

/** @returns The ids that the caller gets of runs that follow each other. */
function deliver(runs: readonly Run[]): (string | undefined)[] {
    const delivered = new DeliveredEvents(new ManualClock(), undefined);
    return runs.flatMap(run => deliverRun(delivered, run).ids);
}

function eventText(id: string | undefined): string {
    return id === undefined ? "data: x\n\n" : `id: ${id}\ndata: x\n\n`;
}

test("an event that comes again in the same read, or after one without an id, is not forwarded", () => {
    for (const ids of [["0", "1", "1", "2"], ["0", "1", undefined, "1", "2"], ["0", "1", undefined, "0", "2"]]) {
        const text = ids.map(eventText).join("");
        const expected = ["0", "1"];
        assert.deepEqual(deliver([{ text, cuts: [] }]), expected);
        const cuts = Array.from({ length: text.length }, () => 1);
        assert.deepEqual(deliver([{ text, cuts }]), expected);
    }
});

// Guards against pieces that are missing from an answer which ends as complete, because an id of its run was spoiled.
test("a run whose ids do not rise ends before the event that shows it", () => {
    for (
        const [ids, expected] of [
            [["0", "0", "1", undefined, "1", "0", "3", "2"], ["0"]],
            [["0", "1", "2", "97", "4", "5"], ["0", "1", "2"]],
            [["0", "1", "2", "13", "4", "5"], ["0", "1", "2"]],
            [["0", "1", "2", "x", "4"], ["0", "1", "2"]],
            [["0", "1", "2", "", "4"], ["0", "1", "2"]],
            [["0", "1", "2", "9999999999999999", "4"], ["0", "1", "2"]],
            [["0", "1", "2", undefined, "4", "5"], ["0", "1", "2"]],
        ] as const
    ) {
        const text = ids.map(eventText).join("");
        const oneRead = deliverRun(new DeliveredEvents(new ManualClock(), undefined), { text, cuts: [] });
        assert.deepEqual(oneRead.ids, expected);
        assert.notEqual(oneRead.contradiction, undefined);
        const cuts = Array.from({ length: text.length }, () => 1);
        const manyReads = deliverRun(new DeliveredEvents(new ManualClock(), undefined), { text, cuts });
        assert.deepEqual(manyReads, { ...oneRead, isDeliveredInDoubt: false });
    }
});

test("an event without an id between consecutive ones, at the end, or where ids have gaps is forwarded", () => {
    for (
        const ids of [["0", "1", undefined, "2"], ["0", "1", undefined], ["0", undefined, "2"], [
            "0",
            "2",
            undefined,
            "7",
        ]]
    ) {
        const text = ids.map(eventText).join("");
        for (const cuts of [[], Array.from({ length: text.length }, () => 1)]) {
            const delivery = deliverRun(new DeliveredEvents(new ManualClock(), undefined), { text, cuts });
            assert.deepEqual([delivery.bytes, delivery.contradiction], [text, undefined]);
        }
    }
});

test("a run that ends as complete has brought the caller each event that it lacked, whatever ids were spoiled", () => {
    const odd = fc.constantFrom("x", "1x", "-1", "", "99999999999999999", undefined);
    const spoiledId = fc.oneof(fc.nat({ max: 99 }).map(String), odd);
    const run = fc.record({
        count: fc.integer({ min: 1, max: 30 }),
        step: fc.constantFrom(1, 1, 1, 3),
        spoiled: fc.array(fc.tuple(fc.nat({ max: 29 }), spoiledId), { maxLength: 2 }),
        cuts: fc.array(fc.nat({ max: 60 }), { maxLength: 20 }),
    });
    fc.assert(fc.property(run, ({ count, step, spoiled, cuts }) => {
        const ids: (string | undefined)[] = Array.from({ length: count }, (_, index) => `${index * step}`);
        spoiled.forEach(([index, id]) => index < count && (ids[index] = id));
        const events = ids.map((id, index) => `${id === undefined ? "" : `id: ${id}\n`}data: ${index}\n\n`);
        const delivered = new DeliveredEvents(new ManualClock(), undefined);
        const { bytes, contradiction } = deliverRun(delivered, { text: events.join(""), cuts });
        assert.ok(contradiction !== undefined || bytes === events.join(""));
        assert.ok(events.join("").startsWith(bytes));
    }));
});

test("a stream of consecutive ids is whole after another run, unless its first two events are in doubt", () => {
    const count = 20;
    const event = (id: string, index: number) => `${id === "" ? "" : `id: ${id}\n`}data: ${index}\n\n`;
    const numbers = Array.from({ length: count }, (_, index) => index);
    const whole = numbers.map(index => event(`${index}`, index)).join("");
    const spoil = fc.record({
        index: fc.nat({ max: count - 2 }),
        id: fc.oneof(fc.nat({ max: 999 }).map(String), fc.constant("")),
        cuts: fc.array(fc.nat({ max: 60 }), { maxLength: 20 }),
    });
    fc.assert(fc.property(spoil, ({ index, id, cuts }) => {
        fc.pre(id !== `${index}`);
        const text = numbers.map(number => event(number === index ? id : `${number}`, number)).join("");
        const delivered = new DeliveredEvents(new ManualClock(), undefined);
        const first = deliverRun(delivered, { text, cuts });
        if (first.isDeliveredInDoubt || first.contradiction === undefined) {
            assert.ok(index < 2);
            assert.ok(first.isDeliveredInDoubt || first.bytes === text, "nothing is dropped");
            return;
        }
        const rest = numbers.slice(Number(delivered.lastId ?? -1) + 1).map(number => event(`${number}`, number));
        const second = deliverRun(delivered, { text: rest.join(""), cuts: [] });
        assert.equal(first.bytes + second.bytes, whole);
    }));
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
