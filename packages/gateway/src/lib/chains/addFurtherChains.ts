import { type Engine } from "../configuration/Configuration.js";
import { type Target } from "../directory/Target.js";
import { type ChainResource, measureResource } from "./buildChain.js";
import { allocateChains, maxChains, maxPaceRatio, replacementGain, selectFastest, throughput } from "./buildChains.js";
import { type Candidate, hopCost, rankCandidates } from "./candidates.js";
import { cacheMemory, freeMemory } from "./memory.js";
import { type Placement } from "./Placement.js";

/**
 * Numbers of requests for which a further chain may be planned. The first target of a chain accepts at most 134, and a
 * chain with room for fewer than 24 takes reports and memory that are better used for standbys.
 */
const furtherLevels: readonly number[] = [128, 96, 72, 48, 24];
/** Number of targets without layers, the fastest ones first, among which a further chain is planned: bounds its cost. */
const maxSpares = 24;

/**
 * Costs of each hop over a target that other chains use, relative to the time of a full step on the reference
 * accelerator, tried in this order. The loss of a shared target ends all its chains, so separate copies come first: with
 * free sharing, a third less was left on two of three measured sites after the loss of two targets. Where separate copies
 * are too slow, free sharing makes a chain possible.
 */
const sharingCosts: readonly number[] = [10, 0];

/**
 * Plans further chains over targets without layers, so that an overload is answered with memory and slots that otherwise
 * only stand by. A further chain consists of targets without layers, which get the layers that no target has room left
 * for, and of targets that already hold layers and have room beside the earlier chains. No target changes the layers
 * that it holds.
 *
 * @param targets - The targets of one data centre with the layers that they hold or will hold.
 */
export function addFurtherChains(targets: readonly Target[], engine: Engine): Placement[] {
    const placements: Placement[] = [];
    let current = targets;
    while (current.some(({ layers }) => layers === undefined)) {
        const added = planFurtherChain(current, engine);
        if (added.length === 0) {
            break;
        }
        placements.push(...added);
        current = withPlacements(current, added);
    }
    return placements;
}

/** Returns the targets with the layers of their placements. */
export function withPlacements(targets: readonly Target[], placements: readonly Placement[]): Target[] {
    const layersById = new Map(placements.map(({ target, layers }) => [target.id, layers]));
    return targets.map(target => {
        const layers = layersById.get(target.id);
        return layers === undefined ? target : { ...target, layers };
    });
}

/** A hop of a planned chain, with the best way to run all layers before its end. */
interface Step {
    /** Time of a step over all hops so far, relative to a full step on the reference accelerator. */
    readonly pace: number;
    /** The pace plus the cost of shared targets. */
    readonly cost: number;
    readonly end: number;
    /** Number of spare targets that are used or passed over. */
    readonly passed: number;
    readonly before?: Step;
    /** The target that already holds the layers of the hop; undefined if it is a spare one. */
    readonly shared?: ChainResource;
    readonly placement?: Placement;
}

/**
 * Plans a chain beside the present ones. When that is not possible, plans one that replaces the further chains, if it
 * serves more than they do: after a target has restarted without its layers, they may only share what others have left.
 */
function planFurtherChain(targets: readonly Target[], engine: Engine): Placement[] {
    const holders = targets.filter(({ layers }) => layers !== undefined);
    const spares = targets.filter(({ layers }) => layers === undefined);
    const dataCentre = holders[0]?.dataCentre ?? "";
    const present = allocateChains(dataCentre, holders, engine);
    const [first, ...further] = present.chains;
    if (first === undefined || present.chains.length >= maxChains) {
        return [];
    }
    const limits = { maxPace: maxPaceRatio * (first.pace ?? 0), minThroughput: 0 };
    const added = findFurtherChain(present.resources, spares, engine, limits);
    if (added.length > 0 || further.length === 0) {
        return added;
    }
    const { resources } = allocateChains(dataCentre, holders, engine, { limit: 1 });
    const minThroughput = throughput(further) * replacementGain;
    return findFurtherChain(resources, spares, engine, { ...limits, minThroughput });
}

/** @returns The placements of the best chain with the highest cost of sharing that is fast enough. */
function findFurtherChain(
    resources: readonly ChainResource[],
    spares: readonly Target[],
    engine: Engine,
    { maxPace, minThroughput }: { readonly maxPace: number; readonly minThroughput: number; },
): Placement[] {
    for (const sharingCost of sharingCosts) {
        const steps = furtherLevels.flatMap(level => {
            const ranked = rankCandidates(spares, engine, level).slice(0, maxSpares);
            const step = findSteps(resources, ranked, engine, { level, sharingCost });
            return step === undefined || step.pace > maxPace || level / step.pace < minThroughput
                ? []
                : [{ step, value: level / step.cost }];
        });
        const [best] = steps.sort((a, b) => b.value - a.value);
        if (best !== undefined) {
            return listSteps(best.step).flatMap(({ placement }) => placement ?? []);
        }
    }
    return [];
}

interface FurtherChainLimits {
    /** Number of requests for which every target has room. */
    readonly level: number;
    readonly sharingCost: number;
}

/**
 * Finds the cheapest way to run all layers for a number of requests, by dynamic programming over layers and spares. The
 * spares are used in their order, and each holds as many layers as it has memory for.
 */
function findSteps(
    resources: readonly ChainResource[],
    spares: readonly Candidate[],
    engine: Engine,
    { level, sharingCost }: FurtherChainLimits,
): Step | undefined {
    const cacheSize = cacheMemory(engine) * level;
    const usable = selectFastest(resources.filter(({ cacheLeft }) => cacheLeft >= cacheSize), engine);
    const best: (Step | undefined)[][] = Array.from({ length: engine.layers + 1 }, () => []);
    const stepFactors = spares.map(({ target }) => stepFactorOf(target, engine));
    const isCheaper = (end: number, passed: number, cost: number) => cost < (best[end]?.[passed]?.cost ?? Infinity);
    const keep = (step: Step) => {
        const steps = best[step.end];
        if (steps !== undefined) {
            steps[step.passed] = step;
        }
    };
    keep({ pace: 0, cost: 0, end: 0, passed: 0 });
    for (let layer = 0; layer < engine.layers; layer++) {
        const holders = usable.filter(({ layers, mayHead }) =>
            layers.first <= layer && layers.end > layer && (layer > 0 || mayHead)
        );
        for (let passed = 0; passed <= spares.length; passed++) {
            const before = best[layer]?.[passed];
            if (before === undefined) {
                continue;
            }
            for (const shared of holders) {
                const end = Math.min(
                    shared.layers.end,
                    engine.layers,
                    layer + Math.floor(shared.cacheLeft / cacheSize),
                );
                const added = hopPace(shared.stepFactor, end - layer, engine);
                const cost = before.cost + added + (isInChain(shared, engine) ? sharingCost : 0);
                if (isCheaper(end, passed, cost) && !isUsed(before, shared)) {
                    keep({ pace: before.pace + added, cost, end, passed, before, shared });
                }
            }
            const spare = spares[passed];
            if (spare !== undefined) {
                const { target, capacity } = spare;
                const end = Math.min(engine.layers, layer + capacity);
                const added = hopPace(stepFactors[passed] ?? 1, end - layer, engine);
                const cost = before.cost + added;
                if (isCheaper(end, passed + 1, cost)) {
                    const placement = { target, layers: { first: layer, end } };
                    keep({ pace: before.pace + added, cost, end, passed: passed + 1, before, placement });
                }
                if (isCheaper(layer, passed + 1, before.cost)) {
                    keep({ ...before, passed: passed + 1 });
                }
            }
        }
    }
    return best[engine.layers]?.reduce<Step | undefined>(
        (a, b) => a === undefined || (b !== undefined && b.cost < a.cost) ? b : a,
        undefined,
    );
}

function hopPace(stepFactor: number, layers: number, engine: Engine): number {
    return hopCost + stepFactor * layers / engine.layers;
}

function stepFactorOf(target: Target, engine: Engine): number {
    const layers = { first: 0, end: 0 };
    return measureResource({ ...target, layers }, engine, () => 1)?.stepFactor ?? 1;
}

/** Whether an earlier chain uses a target. */
function isInChain({ target, cacheLeft }: ChainResource, engine: Engine): boolean {
    return cacheLeft < freeMemory(engine, target);
}

function isUsed(step: Step, shared: ChainResource): boolean {
    for (let at: Step | undefined = step; at !== undefined; at = at.before) {
        if (at.shared === shared) {
            return true;
        }
    }
    return false;
}

function listSteps(last: Step): Step[] {
    const steps: Step[] = [];
    for (let step: Step | undefined = last; step !== undefined; step = step.before) {
        steps.unshift(step);
    }
    return steps;
}
