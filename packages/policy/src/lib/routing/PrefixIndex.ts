import { type CompleteRouterOptions } from "./RouterOptions.js";
import { type TargetState } from "./TargetState.js";

/** Targets remembered for each block. */
const maxHolders = 16;
/** What remains of the trust in a block each time that events of its target were lost after it was stored. */
const trustAfterGap = 0.98;
/**
 * What remains of it however much the target evicts. The blocks that others use stay longest, which the share of evictions
 * does not tell; below this the answers decide.
 */
const leastSpared = 0.5;
/** How much of the trust in a block rests on the last answer that tells whether it was there. */
const answerWeight = 0.25;
/** Below this trust a block counts as absent, so that not even a tie is decided by it. */
const leastTrust = 0.1;
/** Blocks by which the place where a hit ends may be off: a part of its depth, and a part of one block. */
const depthError = 0.25;
const blockError = 1;

interface Holder {
    readonly state: TargetState;
    readonly generation: number;
    readonly storedAt: number;
    /** The target's count of gaps at that time. */
    readonly gaps: number;
    /** What answers have shown of this block on this target, from 0 (never there) to 1. */
    readonly trust: number;
}

/**
 * How many leading blocks of a prompt were thought to be on all stages of a chain, and how many were.
 *
 * @internal
 */
export interface CacheSighting {
    readonly expected: number;
    readonly seen: number;
}

/**
 * Remembers which targets hold which cache blocks, from own requests and from cache events. The blocks longest unused
 * are forgotten first.
 *
 * @internal
 */
export class PrefixIndex {
    private readonly blocks = new Map<string, Holder[]>();

    constructor(private readonly options: CompleteRouterOptions) {}

    get size(): number {
        return this.blocks.size;
    }

    /** Some targets have cached a prompt's blocks. */
    stored(states: readonly TargetState[], blocks: readonly string[]): void {
        const storedAt = this.options.clock.now();
        const added = states.map((state): Holder => {
            const { cacheGeneration: generation, cacheGaps: gaps } = state;
            return { state, generation, storedAt, gaps, trust: 1 };
        });
        // The end of a prompt first, so that it is also forgotten first: a block is worthless without those before it.
        for (let place = blocks.length - 1; place >= 0; place--) {
            this.addHolders(blocks[place]!, added);
        }
        this.trim();
    }

    /**
     * Corrects the trust in a prompt's blocks by an answer. A hit is true of every stage; a miss may be the fault of any
     * one, so each takes a part of it. The blocks stay known even after a miss: the answer has just computed them anew,
     * but whether they will be found there next time is as doubtful as it was this time.
     */
    judge(states: readonly TargetState[], blocks: readonly string[], { expected, seen }: CacheSighting): void {
        // That nothing was there is exact; only the place where a hit ends is not.
        const missedFrom = seen === 0 ? 0 : seen * (1 + depthError) + blockError;
        const isMiss = expected > missedFrom;
        const missWeight = 1 - (1 - answerWeight) ** (1 / states.length);
        blocks.forEach((block, index) => {
            const depth = index + 1;
            if (depth <= seen) {
                this.correct(block, states, trust => trust + (1 - trust) * answerWeight);
            }
            else if (isMiss && depth > missedFrom) {
                this.correct(block, states, trust => trust * (1 - missWeight));
            }
        });
    }

    private correct(block: string, states: readonly TargetState[], change: (trust: number) => number): void {
        const holders = this.blocks.get(block);
        holders?.forEach((holder, place) => {
            const trust = change(holder.trust);
            if (trust !== holder.trust && states.includes(holder.state)) {
                holders[place] = { ...holder, trust };
            }
        });
    }

    evicted(state: TargetState, blocks: readonly string[]): void {
        for (const block of blocks) {
            const holders = this.blocks.get(block);
            const place = holders?.findIndex(holder => holder.state === state) ?? -1;
            if (holders === undefined || place < 0) {
                continue;
            }
            if (holders.length === 1) {
                this.blocks.delete(block);
            }
            else {
                holders.splice(place, 1);
            }
        }
    }

    /**
     * Estimates how many leading blocks of a prompt each target holds. An estimate is lower than what was seen when
     * that was long ago or events were lost since.
     *
     * @param prefix - Hashes of the prompt's blocks, each over the whole prefix up to its end.
     */
    match(prefix: readonly string[]): Map<TargetState, number> {
        const found = new Map<TargetState, number>();
        const deepest = this.deepestKnown(prefix);
        for (let depth = deepest; depth > 0 && found.size < maxHolders; depth--) {
            const block = prefix[depth - 1]!;
            this.blocks.get(block)?.forEach(holder => this.matchHolder(holder, depth, found));
        }
        return found;
    }

    private matchHolder(holder: Holder, depth: number, found: Map<TargetState, number>): void {
        const { state } = holder;
        if (holder.trust < leastTrust || holder.generation !== state.cacheGeneration) {
            return;
        }
        const age = this.options.clock.now() - holder.storedAt;
        const kept = 2 ** -(age / this.options.cacheHalfLife);
        // Blocks longest unused go first, so nearly all stay until the whole cache has been replaced, and few after.
        const spared = leastSpared + (1 - leastSpared) * 2 ** -((age * state.evictionRate) ** 2);
        // Answers and evictions tell of the same thing, so the worse counts, and not both.
        const trust = Math.min(holder.trust, spared) * kept * trustAfterGap ** (state.cacheGaps - holder.gaps);
        // Fewer blocks that are surely there can be worth more than many that are doubtful.
        found.set(state, Math.max(found.get(state) ?? 0, depth * trust));
    }

    /** The number of leading blocks that are known at all; if a block is known, those before it are. */
    private deepestKnown(prefix: readonly string[]): number {
        let known = 0;
        let unknown = prefix.length + 1;
        while (unknown - known > 1) {
            const middle = (known + unknown) >> 1;
            if (this.blocks.has(prefix[middle - 1]!)) {
                known = middle;
            }
            else {
                unknown = middle;
            }
        }
        return known;
    }

    private addHolders(block: string, added: readonly Holder[]): void {
        const holders = this.blocks.get(block) ?? [];
        added.forEach(holder => addHolder(holders, holder));
        // Deleting first moves the block to the end of the map, which is the order of use.
        this.blocks.delete(block);
        this.blocks.set(block, holders);
    }

    private trim(): void {
        for (const block of this.blocks.keys()) {
            if (this.blocks.size <= this.options.cacheBlocks) {
                return;
            }
            this.blocks.delete(block);
        }
    }
}

function addHolder(holders: Holder[], holder: Holder): void {
    const place = holders.findIndex(other => other.state === holder.state);
    if (place >= 0) {
        const before = holders[place]!;
        const isSame = before.trust === 1 || before.generation !== holder.generation;
        holders[place] = isSame ? holder : { ...holder, trust: before.trust };
    }
    else if (holders.length < maxHolders) {
        holders.push(holder);
    }
    else {
        holders[oldest(holders)] = holder;
    }
}

/** The place of the holder that stored longest ago. */
function oldest(holders: readonly Holder[]): number {
    let found = 0;
    holders.forEach((holder, place) => {
        if (holder.storedAt < holders[found]!.storedAt) {
            found = place;
        }
    });
    return found;
}
