import { readFileSync } from "node:fs";
import { assert } from "./assert.js";

/**
 * A flat state chart as its JSON file holds it: for each state the events it reacts to and the states they lead to.
 *
 * @public
 */
export interface ChartDefinition<State extends string, Event extends string> {
    /** The state that a new chart is in. */
    readonly initial: State;
    /** An event that a state does not name is ignored in that state. */
    readonly states: Readonly<Record<State, { readonly on?: { readonly [E in Event]?: State; }; }>>;
}

/**
 * Reads a state chart from its JSON file.
 *
 * @param file - The file, usually `new URL("./name.json", import.meta.url)`.
 * @returns The chart. The names of states and events are the caller's claim: only that each transition leads to a state
 * that exists is checked.
 * @throws Error when the file cannot be read, or a transition leads to no state.
 * @public
 */
export function readStateChart<State extends string, Event extends string>(file: URL): ChartDefinition<State, Event> {
    const chart = JSON.parse(readFileSync(file, "utf8")) as ChartDefinition<string, string>;
    const transitions = Object.values(chart.states).flatMap(({ on = {} }) => Object.values(on));
    for (const state of [chart.initial, ...transitions]) {
        assert(state !== undefined && Object.hasOwn(chart.states, state), `${file.pathname} has no state ${state}`);
    }
    return chart as ChartDefinition<State, Event>;
}

/**
 * Interprets a flat state chart: an event moves it to the next state, or is ignored where the state does not name it.
 *
 * @example
 * ```ts
 * const chart = new StateChart<"open" | "closed", "close">({
 *     initial: "open",
 *     states: { open: { on: { close: "closed" } }, closed: {} },
 * });
 * chart.send("close"); // true
 * ```
 * @public
 */
export class StateChart<State extends string, Event extends string> {
    private current: State;

    constructor(private readonly definition: ChartDefinition<State, Event>) {
        this.current = definition.initial;
    }

    /** The state it is in. */
    get state(): State {
        return this.current;
    }

    /** True when no event leads out of the state. */
    get ended(): boolean {
        return Object.keys(this.definition.states[this.current].on ?? {}).length === 0;
    }

    /** Sends an event. Returns false when the state ignores it. */
    send(event: Event): boolean {
        const next = this.definition.states[this.current].on?.[event];
        if (next === undefined) {
            return false;
        }
        this.current = next;
        return true;
    }
}
