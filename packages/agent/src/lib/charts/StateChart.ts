import { readFileSync } from "node:fs";
import { z } from "zod";

const chartSchema = z.object({
    initial: z.string(),
    states: z.record(z.string(), z.record(z.string(), z.string())),
});

/** The states and transitions of a chart file. @internal */
export type ChartDefinition = z.infer<typeof chartSchema>;

/**
 * Reads a chart file that lies beside this module, and checks that every transition leads to a state that exists.
 *
 * @internal
 */
export function readChart(name: string): ChartDefinition {
    const text = readFileSync(new URL(`./${name}.json`, import.meta.url), "utf8");
    const chart = chartSchema.parse(JSON.parse(text));
    const targets = [chart.initial, ...Object.values(chart.states).flatMap(state => Object.values(state))];
    const missing = targets.find(target => !(target in chart.states));
    if (missing !== undefined) {
        throw new Error(`chart ${name} has no state ${missing}`);
    }
    return chart;
}

/**
 * Interprets a chart: an event moves it to the next state, or is ignored when the state has no transition for it.
 *
 * @internal
 */
export class StateChart<State extends string, Event extends string> {
    private current: string;

    constructor(private readonly chart: ChartDefinition) {
        this.current = chart.initial;
    }

    get state(): State {
        return this.current as State;
    }

    /** True when no event leads out of the state. */
    get ended(): boolean {
        return Object.keys(this.chart.states[this.current] ?? {}).length === 0;
    }

    /** Sends an event. Returns false when the state does not take it. */
    send(event: Event): boolean {
        const next = this.chart.states[this.current]?.[event];
        if (next === undefined) {
            return false;
        }
        this.current = next;
        return true;
    }
}
