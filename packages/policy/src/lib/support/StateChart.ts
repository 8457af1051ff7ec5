/**
 * A state chart as its JSON file holds it: for each state the events it reacts to and the states they lead to.
 *
 * @internal
 */
export interface ChartDefinition<State extends string, Event extends string> {
    readonly initial: State;
    readonly states: Readonly<Record<State, { readonly on: { readonly [E in Event]?: State; }; }>>;
}

/**
 * Runs a flat state chart.
 *
 * @internal
 */
export class StateChart<State extends string, Event extends string> {
    private current: State;

    constructor(private readonly definition: ChartDefinition<State, Event>) {
        this.current = definition.initial;
    }

    get state(): State {
        return this.current;
    }

    /** Takes an event. Returns true when it led to another state. */
    send(event: Event): boolean {
        const next = this.definition.states[this.current].on[event];
        if (next === undefined || next === this.current) {
            return false;
        }
        this.current = next;
        return true;
    }
}
