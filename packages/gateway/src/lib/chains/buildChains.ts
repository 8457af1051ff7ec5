import { type Engine } from "../configuration/Configuration.js";
import { addressOf, type Target } from "../directory/Target.js";
import { type Hop } from "../requests/messages.js";
import { type ChainResource, findChain, measureResource, type Slowdown } from "./buildChain.js";
import { hopCost } from "./candidates.js";
import { type Chain } from "./Chain.js";
import { cacheMemory } from "./memory.js";

/** Maximum number of chains of a data centre, which bounds the cost of a rebuild. */
export const maxChains = 6;
/**
 * Number of requests for which a further chain must have room. A smaller one serves about five streams a second, which
 * is not worth the reports that its targets are asked for.
 */
const minRoom = 12;
/**
 * Numbers of requests for which a further chain is searched; the one with the highest throughput is used. The cheapest
 * chain alone prefers fast targets on which the earlier chains have left little memory.
 */
const roomLevels: readonly number[] = [96, 48, minRoom];
/**
 * Factor by which a further chain may be slower than the first one. Events of a first chain that is not loaded arrive
 * every 30 to 60 ms, and may arrive every 250 ms. Beside a first chain of the fastest accelerators alone, one of all
 * others is five times as slow and has intervals of 140 ms.
 */
export const maxPaceRatio = 6;
/**
 * Factor by which new further chains must exceed the throughput of those that can be kept. A rebuild for less would move
 * requests back and forth between chains of nearly the same throughput.
 */
export const replacementGain = 1.25;

/**
 * Number of targets for each layer among which further chains are searched, the fastest ones first. It is twice the
 * maximum number of chains, and bounds the time of a rebuild: 300 targets took 24 ms without it.
 */
const maxHolders = 12;

/** Options of {@link buildChains}. */
export interface ChainsOptions {
    readonly slowdown?: Slowdown;
    /** Earlier chains of the data centre, which are kept where that is possible. */
    readonly previous?: readonly Chain[];
    /** Maximum number of chains. Default 6. */
    readonly limit?: number;
}

/**
 * Builds several chains of a data centre from the layers that its targets hold, so that an overload is answered with the
 * slots and the memory that one chain leaves unused. The first chain is the one of {@link buildChain}. Each chain begins
 * at another target, since only the first target of a chain limits its requests by slots. The rooms of all chains over
 * one target add up to at most what it has.
 *
 * @param targets - The targets that may be used, all of one data centre.
 */
export function buildChains(
    dataCentre: string,
    targets: readonly Target[],
    engine: Engine,
    options: ChainsOptions = {},
): Chain[] {
    return allocateChains(dataCentre, targets, engine, options).chains;
}

/** Like {@link buildChains}, with what the chains leave of the targets. */
export function allocateChains(
    dataCentre: string,
    targets: readonly Target[],
    engine: Engine,
    { slowdown = () => 1, previous = [], limit = maxChains }: ChainsOptions = {},
): Allocation {
    const resources = targets.flatMap(target => measureResource(target, engine, slowdown) ?? []);
    const first = findChain(dataCentre, resources, engine);
    if (first === undefined) {
        return { chains: [], resources, engine };
    }
    const alone = allocate({ chains: [], resources, engine }, first);
    const kept = previous.reduce((allocation, chain) => keepChain(allocation, chain), alone);
    const extended = addChains(kept, dataCentre, limit);
    if (kept.chains.length === alone.chains.length) {
        return extended;
    }
    const replaced = addChains(alone, dataCentre, limit);
    const isBetter = throughput(replaced.chains) > throughput(extended.chains) * replacementGain;
    return isBetter ? replaced : extended;
}

/** Chains and what they leave of the targets. */
export interface Allocation {
    readonly chains: Chain[];
    readonly resources: readonly ChainResource[];
    readonly engine: Engine;
}

/** Adds a chain, which takes memory of all its targets and the slots of its first target. */
function allocate({ chains, resources, engine }: Allocation, chain: Chain): Allocation {
    const cacheSize = cacheMemory(engine);
    const used = new Map(
        chain.hops.map(({ targetId, layers }) =>
            [targetId, chain.room * cacheSize * (layers.end - layers.first)] as const
        ),
    );
    const head = chain.hops[0]?.targetId;
    const left = resources.map(resource => {
        const { target: { id }, cacheLeft, mayHead } = resource;
        const use = used.get(id);
        return use === undefined
            ? resource
            : { ...resource, cacheLeft: cacheLeft - use, mayHead: mayHead && id !== head };
    });
    return { chains: [...chains, chain], resources: left, engine };
}

/** Adds further chains from what is left, in order of increasing cost. */
function addChains(allocation: Allocation, dataCentre: string, limit: number): Allocation {
    let extended = allocation;
    while (extended.chains.length < limit) {
        const { resources, engine } = extended;
        const found = roomLevels.flatMap(room => {
            const minCache = room * cacheMemory(engine);
            const usable = resources.filter(({ cacheLeft }) => cacheLeft >= minCache);
            const chain = findChain(dataCentre, selectFastest(usable, engine), engine, room);
            return chain === undefined || !isWorthwhile(chain, extended) ? [] : [chain];
        });
        const [chain] = found.sort((a, b) => throughput([b]) - throughput([a]));
        if (chain === undefined) {
            break;
        }
        extended = allocate(extended, chain);
    }
    return extended;
}

/** Selects the resources that are among the fastest ones for any of their layers; only heads count for the first layer. */
export function selectFastest(resources: readonly ChainResource[], engine: Engine): ChainResource[] {
    const counts = new Array<number>(engine.layers).fill(0);
    const bySpeed = resources.toSorted((a, b) => a.stepFactor * a.slowdown - b.stepFactor * b.slowdown);
    return bySpeed.filter(({ layers, mayHead }) => {
        let isSelected = false;
        for (let layer = Math.max(layers.first, mayHead ? 0 : 1); layer < layers.end; layer++) {
            const count = counts[layer] ?? 0;
            counts[layer] = count + 1;
            isSelected ||= count < maxHolders;
        }
        return isSelected;
    });
}

/** Adds an earlier chain if its targets still hold its layers and have room left. */
function keepChain(allocation: Allocation, chain: Chain): Allocation {
    if (allocation.chains.length >= maxChains || chain.crossings > 0) {
        return allocation;
    }
    const { engine } = allocation;
    const cacheSize = cacheMemory(engine);
    const byId = new Map(allocation.resources.map(resource => [resource.target.id, resource]));
    let { slots: room } = engine;
    let pace = 0;
    let slowdown = 1;
    for (const [index, hop] of chain.hops.entries()) {
        const resource = byId.get(hop.targetId);
        if (resource === undefined || !holds(resource, hop) || (index === 0 && !resource.mayHead)) {
            return allocation;
        }
        const layers = hop.layers.end - hop.layers.first;
        room = Math.min(room, resource.cacheLeft / (cacheSize * layers));
        pace += hopCost + resource.stepFactor * resource.slowdown * layers / engine.layers;
        slowdown = Math.max(slowdown, resource.slowdown);
    }
    const current = { ...chain, room, pace, slowdown };
    return isWorthwhile(current, allocation) ? allocate(allocation, current) : allocation;
}

function holds({ target, layers }: ChainResource, hop: Hop): boolean {
    return target.startedAt === hop.startedAt && addressOf(target) === hop.address
        && layers.first <= hop.layers.first && layers.end >= hop.layers.end;
}

function isWorthwhile({ room, pace = Infinity }: Chain, { chains }: Allocation): boolean {
    return room >= minRoom && pace <= maxPaceRatio * (chains[0]?.pace ?? 0);
}

/** Returns the number of requests that chains serve in the time of a step of the reference accelerator. */
export function throughput(chains: readonly Chain[]): number {
    return chains.reduce((sum, { room, pace = Infinity }) => sum + room / pace, 0);
}
