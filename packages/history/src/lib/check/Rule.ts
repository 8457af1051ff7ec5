import { type HistoryEvent, type HistoryLine } from "../HistoryEvent.js";
import { type Findings } from "./Findings.js";
import { type Recordings } from "./Recordings.js";

/** An event of one name. @internal */
export type EventOf<Name extends HistoryEvent["event"]> = Extract<HistoryEvent, { event: Name; }>;

/**
 * One rule over a history. It sees each line once, and decides when all lines have been seen. The lines of one
 * incarnation come in their order; those of different ones in any.
 *
 * @internal
 */
export interface Rule {
    take(line: HistoryLine): void;
    decide(recordings: Recordings, findings: Findings): void;
}

/** Adds an item to the list under a key. @internal */
export function addTo<Key, Item>(lists: Map<Key, Item[]>, key: Key, item: Item): void {
    const list = lists.get(key);
    if (list === undefined) {
        lists.set(key, [item]);
        return;
    }
    list.push(item);
}

/** The value under a key, made when there is none. @internal */
export function getOrCreate<Key, Value>(values: Map<Key, Value>, key: Key, create: () => Value): Value {
    let value = values.get(key);
    if (value === undefined) {
        value = create();
        values.set(key, value);
    }
    return value;
}
