import { type HistoryEvent, type HistoryLine } from "../HistoryEvent.js";
import { type Findings } from "./Findings.js";
import { type Recordings } from "./Recordings.js";

/** The event with a given name. @internal */
export type EventOf<Name extends HistoryEvent["event"]> = Extract<HistoryEvent, { event: Name; }>;

/**
 * A rule over a history. It is given each line once and is evaluated after the last one. The lines of one incarnation
 * arrive in recorded order; lines of different incarnations may be interleaved in any way.
 *
 * @internal
 */
export interface Rule {
    take(line: HistoryLine): void;
    decide(recordings: Recordings, findings: Findings): void;
}

/** Adds an item to the list stored under a key. @internal */
export function addTo<Key, Item>(lists: Map<Key, Item[]>, key: Key, item: Item): void {
    const list = lists.get(key);
    if (list === undefined) {
        lists.set(key, [item]);
        return;
    }
    list.push(item);
}

/** Returns the value stored under a key, after creating it if there is none. @internal */
export function getOrCreate<Key, Value>(values: Map<Key, Value>, key: Key, create: () => Value): Value {
    let value = values.get(key);
    if (value === undefined) {
        value = create();
        values.set(key, value);
    }
    return value;
}
