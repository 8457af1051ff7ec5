import { readFileSync } from "node:fs";
import { assert } from "./assert.js";

/**
 * A flat state chart as stored in its JSON file: for each state, the events it reacts to and the states they lead to.
 *
 * @public
 */
export interface ChartDefinition<State extends string, Event extends string> {
    /** The state in which a new chart starts. */
    readonly initial: State;
    /** The transitions of each state. A state ignores events that it does not list. */
    readonly states: Readonly<Record<State, { readonly on?: { readonly [E in Event]?: State; }; }>>;
}

/**
 * Reads a state chart from its JSON file.
 *
 * @param file - The file, usually `new URL("./name.json", import.meta.url)`.
 * @returns The chart. Its type arguments are not checked against the file, only that every transition leads to an
 * existing state.
 * @throws Error if the file cannot be read, or the initial state or the target of a transition does not exist.
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
 * Interprets a flat state chart: an event moves it to the next state, or is ignored if the state does not list it.
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

    /** The current state. */
    get state(): State {
        return this.current;
    }

    /** Whether the current state has no transitions. */
    get ended(): boolean {
        return Object.keys(this.definition.states[this.current].on ?? {}).length === 0;
    }

    /** Sends an event. Returns false if the current state ignores it. */
    send(event: Event): boolean {
        const next = this.definition.states[this.current].on?.[event];
        if (next === undefined) {
            return false;
        }
        this.current = next;
        return true;
    }
}
