import assert from "node:assert/strict";
import test from "node:test";
import { type HistoryRule } from "../lib/check/Findings.js";
import { checkHistory } from "../lib/checkHistory.js";
import { type HistoryEvent } from "../lib/HistoryEvent.js";
import { type HistoryBuilder } from "./HistoryBuilder.js";
import { sampleHistory } from "./sampleHistory.js";

/** A violation planted in the sample history, which one rule must report. */
export interface PlantedViolation {
    readonly rule: HistoryRule;
    readonly request?: string;
    /** Matches the message, if the change causes several violations of the rule. */
    readonly message?: RegExp;
    /** Plants the violation. */
    readonly apply: (history: HistoryBuilder) => void;
}

/** The name of an event. */
export type EventName = HistoryEvent["event"];
/** The event with a given name. */
export type Event<Name extends EventName> = Extract<HistoryEvent, { event: Name; }>;

/** Replaces the first event with the given name for which a condition holds. */
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

/** Selects a `layers.run` event. */
export function layersRunAt(request: string, epoch: number, position: number, first: number) {
    return (event: Event<"layers.run">) => (
        event.request === request && event.epoch === epoch && event.position === position && event.first === first
    );
}

/** Selects any event. */
export const always = () => true;

/** Selects a `tokens.sent` event. */
export function sent(request: string, position: number) {
    return (event: Event<"tokens.sent">) => event.request === request && event.position === position;
}

/** Selects the end of a request. */
export function ended(request: string) {
    return (event: Event<"request.ended">) => event.request === request;
}

/** Selects the arrival of a request. */
export function received(request: string) {
    return (event: Event<"request.received">) => event.request === request;
}

/** Registers a test for each violation: its rule must find it when it is planted in a valid history. */
export function testPlantedViolations(plantedViolations: Readonly<Record<string, PlantedViolation>>): void {
    for (const [name, { rule, request, message, apply }] of Object.entries(plantedViolations)) {
        void test(`caught: ${name}`, () => {
            const history = sampleHistory();
            apply(history);
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
