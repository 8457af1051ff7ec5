import { assert } from "@waxwingspar/utils";
import { readFileSync } from "node:fs";
import { createMachine, initialTransition } from "xstate";
import { z } from "zod";

const chartSchema = z.object({
    id: z.string(),
    initial: z.string(),
    states: z.record(
        z.string(),
        z.strictObject({
            always: z.array(z.strictObject({ guard: z.string().optional(), target: z.string() })).optional(),
            entry: z.array(z.string()).optional(),
        }),
    ),
});

type Chart = z.infer<typeof chartSchema>;

/**
 * The state that a chart assigns to some facts, and the actions on entering it.
 *
 * @internal
 */
export interface Assessment {
    readonly state: string;
    readonly actions: readonly string[];
}

/**
 * Reads a state chart that lies beside this module. The chart is followed anew from the facts each time, never from a
 * remembered state, so that the next holder of a duty carries on from wherever the last one stopped.
 *
 * @param name - The file's name without its ending.
 * @param guards - Decides each guard that the chart names.
 * @returns Follows the chart from its initial state until no transition is left.
 * @internal
 */
export function readChart<Facts>(
    name: string,
    guards: Readonly<Record<string, (facts: Facts) => boolean>>,
): (facts: Facts) => Assessment {
    const text = readFileSync(new URL(`./${name}.json`, import.meta.url), "utf8");
    const chart = chartSchema.parse(JSON.parse(text));
    assertComplete(chart, Object.keys(guards));
    const machine = createMachine(
        {
            ...chart,
            types: {} as { context: { facts: Facts; }; input: Facts; },
            context: ({ input }) => ({ facts: input }),
        },
        {
            guards: Object.fromEntries(
                Object.entries(guards).map(([guard, decide]) => [
                    guard,
                    ({ context }: { context: { facts: Facts; }; }) => decide(context.facts),
                ]),
            ),
        },
    );
    return facts => {
        const [snapshot, actions] = initialTransition(machine, facts);
        const { value } = snapshot as { value: string; };
        return { state: value, actions: actions.map(action => action.type) };
    };
}

/** A guard or a state that is missing is a fault of the program, and must not wait until its branch is taken. */
function assertComplete({ id, states }: Chart, guards: readonly string[]): void {
    const transitions = Object.values(states).flatMap(({ always }) => always ?? []);
    for (const { guard, target } of transitions) {
        assert(guard === undefined || guards.includes(guard), `chart ${id} asks an unknown guard ${guard}`);
        assert(target in states, `chart ${id} has no state ${target}`);
    }
    const asked = new Set(transitions.map(({ guard }) => guard));
    guards.forEach(guard => assert(asked.has(guard), `chart ${id} never asks guard ${guard}`));
}
