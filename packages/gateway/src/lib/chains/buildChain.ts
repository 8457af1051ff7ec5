import { type Engine } from "../configuration/Configuration.js";
import { addressOf, incarnationOf, type LayerRange, type Target } from "../directory/Target.js";
import { type Hop } from "../requests/messages.js";
import { hopCost } from "./candidates.js";
import { type Chain } from "./Chain.js";
import { ampleRoom, cacheMemory, freeMemory } from "./memory.js";

/**
 * Cost of a hop to another data centre, relative to the time of a full step on the reference accelerator. It exceeds
 * the cost of any detour over slow accelerators, since the activations of an average request occupy the shared link for
 * 25 ms.
 */
const crossingCost = 20;
/**
 * Cost of a hop whose target has no room for requests; the cost decreases to 0 for a target with ample room. It allows
 * a few more hops over standbys in order to run fewer layers on a target that is short of memory.
 */
const shortageCost = 10;

/**
 * Finds the chain with the lowest cost that begins in a data centre, by dynamic programming over the layers. Ranges of
 * targets may overlap; a hop runs only the part of its range that the hops before it have not run.
 *
 * @param targets - The targets that may be used; if they all belong to one data centre, so does the chain.
 * @returns Undefined when the targets do not hold all layers.
 */
export function buildChain(
    dataCentre: string,
    targets: readonly Target[],
    engine: Engine,
    slowdown: Slowdown = () => 1,
): Chain | undefined {
    const resources = targets.flatMap(target => measureResource(target, engine, slowdown) ?? []);
    return findChain(dataCentre, resources, engine);
}

/** Like {@link buildChain}, from resources of which other chains may use a part. */
export function findChain(
    dataCentre: string,
    resources: readonly ChainResource[],
    engine: Engine,
    minRoom = 0,
): Chain | undefined {
    const best: BestSteps = Array.from({ length: engine.layers + 1 }, () => new Map<string, Step>());
    best[0]?.set(dataCentre, { cost: 0, crossings: 0, room: engine.slots, slowdown: 1, pace: 0, dataCentre });
    for (let layer = 0; layer < engine.layers; layer++) {
        const reachedSteps = best[layer];
        if (reachedSteps === undefined || reachedSteps.size === 0) {
            continue;
        }
        const holders = resources.filter(({ layers, mayHead }) =>
            layers.first <= layer && layers.end > layer && (layer > 0 || mayHead)
        );
        for (const reached of reachedSteps.values()) {
            holders
                .filter(resource => mayFollow(reached, resource, layer))
                .forEach(resource => addHop({ best, reached, resource, layer, engine, minRoom }));
        }
    }
    return toChain(dataCentre, cheapest([...best[engine.layers]?.values() ?? []]));
}

/** What a target that holds layers has for chains. */
export interface ChainResource {
    readonly target: Target;
    readonly layers: LayerRange;
    /** Time of a step relative to the reference accelerator. */
    readonly stepFactor: number;
    /** Ratio of its step time to the expected time of its accelerator. */
    readonly slowdown: number;
    /** Memory for the KV cache that no chain uses, in megabytes. */
    readonly cacheLeft: number;
    /** Whether a chain may begin at the target. */
    readonly mayHead: boolean;
}

/** Returns what a target has when no chain uses it; undefined when it holds no layers. */
export function measureResource(target: Target, engine: Engine, slowdown: Slowdown): ChainResource | undefined {
    const { id, layers, accelerator } = target;
    const stepFactor = engine.accelerators.find(({ name }) => name === accelerator)?.stepFactor ?? 1;
    return layers === undefined
        ? undefined
        : { target, layers, stepFactor, slowdown: slowdown(id), cacheLeft: freeMemory(engine, target), mayHead: true };
}

/** Returns the slowdown of a target: the ratio of its step time to the expected time of its accelerator. */
export type Slowdown = (targetId: string) => number;

/** For each layer, the cheapest partial chain that runs all layers before it, by the data centre of its last hop. */
type BestSteps = readonly Map<string, Step>[];

/** The last hop of a partial chain, with the cost of that partial chain. The first step has no hop. */
interface Step {
    readonly cost: number;
    readonly crossings: number;
    readonly room: number;
    /** Slowdown of the slowest target of the partial chain. */
    readonly slowdown: number;
    readonly pace: number;
    readonly dataCentre: string;
    readonly before?: Step;
    readonly target?: Target;
    readonly layers?: LayerRange;
}

/**
 * Ensures that a chain uses each target at most once, and that its first target is in the data centre where it begins.
 */
function mayFollow(reached: Step, { target }: ChainResource, layer: number): boolean {
    const isElsewhere = target.dataCentre !== reached.dataCentre;
    return !(isElsewhere && layer === 0) && !isUsed(reached, target);
}

/** A target that may extend a partial chain from a layer on. */
interface NextHop {
    readonly best: BestSteps;
    readonly reached: Step;
    readonly resource: ChainResource;
    readonly layer: number;
    readonly engine: Engine;
    /** Number of requests that every target of the chain must have room for. */
    readonly minRoom: number;
}

/**
 * Extends a partial chain by a target, up to each layer that the target holds, where no cheaper partial chain is known.
 */
function addHop({ best, reached, resource, layer, engine, minRoom }: NextHop): void {
    const { target, slowdown, stepFactor, cacheLeft } = resource;
    const { dataCentre } = target;
    const cacheSize = cacheMemory(engine);
    const factor = stepFactor * slowdown;
    const crossings = dataCentre === reached.dataCentre ? 0 : 1;
    const base = reached.cost + hopCost + crossings * crossingCost;
    const lastEnd = Math.min(resource.layers.end, engine.layers);
    for (let end = layer + 1; end <= lastEnd; end++) {
        const room = Math.max(0, cacheLeft / (cacheSize * (end - layer)));
        if (room < minRoom) {
            return;
        }
        const shortage = Math.max(0, 1 - room / ampleRoom);
        const cost = base + factor * (end - layer) / engine.layers + shortageCost * shortage;
        const known = best[end]?.get(dataCentre);
        if (known === undefined || cost < known.cost) {
            best[end]?.set(dataCentre, {
                cost,
                crossings: reached.crossings + crossings,
                room: Math.min(reached.room, room),
                slowdown: Math.max(reached.slowdown, slowdown),
                pace: reached.pace + hopCost + factor * (end - layer) / engine.layers,
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
    const { crossings, room, slowdown, pace } = last;
    return { key, dataCentre, crossings, room, slowdown, pace, hops };
}
