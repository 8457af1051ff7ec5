import assert from "node:assert/strict";
import test from "node:test";
import { type HistoryRule } from "../lib/check/Findings.js";
import { checkHistory } from "../lib/checkHistory.js";
import { type HistoryEvent } from "../lib/HistoryEvent.js";
import { type HistoryBuilder } from "./HistoryBuilder.js";
import { sampleHistory } from "./sampleHistory.js";

/** A violation to plant into the sample history. */
export interface Plant {
    readonly rule: HistoryRule;
    readonly request?: string;
    /** What the message must say, where several faults of one rule would follow from the plant. */
    readonly message?: RegExp;
    readonly plant: (history: HistoryBuilder) => void;
}

/** The name of an event. */
export type EventName = HistoryEvent["event"];
/** An event of one name. */
export type Event<Name extends EventName> = Extract<HistoryEvent, { event: Name; }>;

/** Changes the first event of a name for which a condition holds. */
export function change<Name extends EventName>(
    history: HistoryBuilder,
    name: Name,
    condition: (event: Event<Name>) => boolean,
    replace: (event: Event<Name>) => HistoryEvent[],
): void {
    let changed = false;
    history.edit(
        ({ body }) => !changed && body.event === name && condition(body as Event<Name>) && (changed = true),
        ({ body }) => replace(body as Event<Name>),
    );
    assert.ok(changed, `no ${name} to change`);
}

/** Chooses layers that ran. */
export function at(request: string, epoch: number, position: number, first: number) {
    return (event: Event<"layers.run">) => (
        event.request === request && event.epoch === epoch && event.position === position && event.first === first
    );
}

/** Chooses the first. */
export const always = () => true;

/** Chooses delivered tokens. */
export function sent(request: string, position: number) {
    return (event: Event<"tokens.sent">) => event.request === request && event.position === position;
}

/** Chooses the end of a request. */
export function ended(request: string) {
    return (event: Event<"request.ended">) => event.request === request;
}

/** Chooses the arrival of a request. */
export function received(request: string) {
    return (event: Event<"request.received">) => event.request === request;
}

/** Adds a test for each violation: planted into a valid history, it must be caught by its rule. */
export function testPlants(plants: Readonly<Record<string, Plant>>): void {
    for (const [name, { rule, request, message, plant }] of Object.entries(plants)) {
        void test(`caught: ${name}`, () => {
            const history = sampleHistory();
            plant(history);
            const { violations, rules } = checkHistory(history.lines());
            const found = violations.filter(violation => violation.rule === rule);
            assert.ok(message === undefined || found.some(violation => message.test(violation.message)));
            assert.ok(found.length > 0, `only found ${JSON.stringify(violations)}`);
            assert.equal(rules[rule].violated, found.length);
            assert.ok(found.some(violation => violation.request === request), JSON.stringify(found));
            for (const violation of found) {
                assert.ok(violation.message !== "" && violation.lines.length > 0, `${violation.message}: no lines`);
            }
        });
    }
}
