import { type Engine } from "../configuration/Configuration.js";
import { addressOf, incarnationOf, type LayerRange, type Target } from "../directory/Target.js";
import { type Hop } from "../requests/messages.js";
import { hopCost } from "./cards.js";
import { type Chain } from "./Chain.js";
import { ampleRoom, requestRoom } from "./memory.js";

/**
 * Cost of a hop to another data centre against the reference's time for a whole step. Chosen so high that no detour over
 * slow accelerators is too long to save one: the activations of a usual request take 25 ms (reckoned) of a pipe that all share.
 */
const crossingCost = 20;
/**
 * Cost of a hop whose target has no room for requests at all; one with ample room costs nothing. Chosen: it is worth some
 * more hops over second copies to run fewer layers where room is short.
 */
const shortageCost = 10;

/**
 * Finds the fastest chain that begins in a data centre, with as few hops between data centres as the targets allow.
 * Ranges of targets may overlap; a hop runs only the part of its range that the hops before it left.
 *
 * @param targets - The targets that may take part; those of one data centre give a chain that stays inside it.
 * @returns Undefined when the targets do not hold all layers.
 */
export function buildChain(
    dataCentre: string,
    targets: readonly Target[],
    engine: Engine,
    slowdown: Slowdown = () => 1,
): Chain | undefined {
    const best: BestSteps = Array.from({ length: engine.layers + 1 }, () => new Map<string, Step>());
    best[0]?.set(dataCentre, { cost: 0, crossings: 0, room: engine.slots, slowdown: 1, dataCentre });
    for (let layer = 0; layer < engine.layers; layer++) {
        const holders = targets.filter(({ layers }) =>
            layers !== undefined && layers.first <= layer && layers.end > layer
        );
        for (const reached of best[layer]?.values() ?? []) {
            holders
                .filter(target => mayFollow(reached, target, layer))
                .forEach(target => addHop({ best, reached, target, layer, engine, slowdown: slowdown(target.id) }));
        }
    }
    return toChain(dataCentre, cheapest([...best[engine.layers]?.values() ?? []]));
}

/** How many times longer than its accelerator should a target takes. */
export type Slowdown = (targetId: string) => number;

/** By layer: the cheapest way to have run all layers before it, by the data centre that it has come to. */
type BestSteps = readonly Map<string, Step>[];

/** A hop, and what the chain up to it costs. The first step has no hop yet. */
interface Step {
    readonly cost: number;
    readonly crossings: number;
    readonly room: number;
    /** Of its slowest target. */
    readonly slowdown: number;
    readonly dataCentre: string;
    readonly before?: Step;
    readonly target?: Target;
    readonly layers?: LayerRange;
}

/** A target comes once in a chain, and the first one is in the data centre in which the chain begins. */
function mayFollow(reached: Step, target: Target, layer: number): boolean {
    const isElsewhere = target.dataCentre !== reached.dataCentre;
    return !(isElsewhere && layer === 0) && !isUsed(reached, target);
}

/** A target that may run on from a layer. */
interface NextHop {
    readonly best: BestSteps;
    readonly reached: Step;
    readonly target: Target;
    readonly layer: number;
    readonly engine: Engine;
    readonly slowdown: number;
}

/** Lets a target run from a layer to every layer that it holds, where no cheaper way there is known. */
function addHop({ best, reached, target, layer, engine, slowdown }: NextHop): void {
    const { dataCentre } = target;
    const stepFactor = engine.accelerators.find(({ name }) => name === target.accelerator)?.stepFactor ?? 1;
    const factor = stepFactor * slowdown;
    const crossings = dataCentre === reached.dataCentre ? 0 : 1;
    const base = reached.cost + hopCost + crossings * crossingCost;
    for (let end = layer + 1; end <= Math.min(target.layers?.end ?? 0, engine.layers); end++) {
        const room = requestRoom(engine, target, end - layer);
        const shortage = Math.max(0, 1 - room / ampleRoom);
        const cost = base + factor * (end - layer) / engine.layers + shortageCost * shortage;
        const known = best[end]?.get(dataCentre);
        if (known === undefined || cost < known.cost) {
            best[end]?.set(dataCentre, {
                cost,
                crossings: reached.crossings + crossings,
                room: Math.min(reached.room, room),
                slowdown: Math.max(reached.slowdown, slowdown),
                dataCentre,
                before: reached,
                target,
                layers: { first: layer, end },
            });
        }
    }
}

function cheapest(steps: readonly Step[]): Step | undefined {
    return steps.reduce<Step | undefined>(
        (best, step) => best === undefined || step.cost < best.cost ? step : best,
        undefined,
    );
}

function isUsed(step: Step, target: Target): boolean {
    for (let at: Step | undefined = step; at !== undefined; at = at.before) {
        if (at.target === target) {
            return true;
        }
    }
    return false;
}

function toChain(dataCentre: string, last: Step | undefined): Chain | undefined {
    const hops: Hop[] = [];
    for (let step = last; step?.target !== undefined && step.layers !== undefined; step = step.before) {
        const { id: targetId, startedAt } = step.target;
        hops.unshift({ targetId, startedAt, address: addressOf(step.target), layers: step.layers });
    }
    if (last === undefined || hops.length === 0) {
        return undefined;
    }
    const key = hops.map(hop => `${incarnationOf({ ...hop, id: hop.targetId })}:${hop.layers.first}-${hop.layers.end}`)
        .join(",");
    const { crossings, room, slowdown } = last;
    return { key, dataCentre, crossings, room, slowdown, hops };
}
