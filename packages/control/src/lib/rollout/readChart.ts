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
 * The state that a chart reaches for the given facts, and the entry actions of that state.
 *
 * @internal
 */
export interface Assessment {
    readonly state: string;
    readonly actions: readonly string[];
}

/**
 * Reads a state chart from the directory of this module. Every evaluation starts from the initial state and not from a
 * stored state, so that the next holder of a duty can continue wherever the previous one stopped.
 *
 * @param name - The file name without its extension.
 * @param guards - The implementation of each guard in the chart.
 * @returns A function that follows the chart from its initial state until no transition applies.
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

/**
 * Checks at load time that every guard and state exists; otherwise the bug would show only once its branch is taken.
 */
function assertComplete({ id, states }: Chart, guards: readonly string[]): void {
    const transitions = Object.values(states).flatMap(({ always }) => always ?? []);
    for (const { guard, target } of transitions) {
        assert(guard === undefined || guards.includes(guard), `chart ${id} uses unknown guard ${guard}`);
        assert(target in states, `chart ${id} has no state ${target}`);
    }
    const asked = new Set(transitions.map(({ guard }) => guard));
    guards.forEach(guard => assert(asked.has(guard), `chart ${id} does not use guard ${guard}`));
}
