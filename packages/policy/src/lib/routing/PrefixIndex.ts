import { type CompleteRouterOptions } from "./RouterOptions.js";
import { type TargetState } from "./TargetState.js";

/** Maximum number of targets recorded for each block. */
const maxHolders = 16;
/** Factor applied to the trust in a block for each gap in its target's cache events since it was stored. */
const trustAfterGap = 0.98;
/**
 * Lower limit of the estimated survival of a block under evictions. Blocks in use by others survive longest, which the
 * eviction rate does not show; below this limit the trust learned from responses decides.
 */
const minSurvival = 0.5;
/** Weight of the latest response in the moving average of a block's trust. */
const answerWeight = 0.25;
/** Below this trust a block counts as absent, so that it does not even decide a tie. */
const minTrust = 0.1;
/** Error of the reported depth of a hit: a share of the depth, plus a number of blocks. */
const depthError = 0.25;
const blockError = 1;

interface Holder {
    readonly state: TargetState;
    /** The target's cache generation when the block was stored. */
    readonly generation: number;
    readonly storedAt: number;
    /** The target's count of event gaps when the block was stored. */
    readonly gaps: number;
    /** Share of responses that found this block cached on this target, as a moving average from 0 to 1. */
    readonly trust: number;
}

/**
 * The number of leading blocks of a prompt expected to be cached on all stages of a chain, and the number that was.
 *
 * @internal
 */
export interface CacheObservation {
    readonly expected: number;
    readonly seen: number;
}

/**
 * Records which targets hold which cache blocks, from this entry's requests and from cache events. The least recently
 * used blocks are evicted first.
 *
 * @internal
 */
export class PrefixIndex {
    private readonly blocks = new Map<string, Holder[]>();

    constructor(private readonly options: CompleteRouterOptions) {}

    get size(): number {
        return this.blocks.size;
    }

    /** Records that targets have cached a prompt's blocks. */
    stored(states: readonly TargetState[], blocks: readonly string[]): void {
        const storedAt = this.options.clock.now();
        const added = states.map((state): Holder => {
            const { cacheGeneration: generation, cacheGaps: gaps } = state;
            return { state, generation, storedAt, gaps, trust: 1 };
        });
        // The end of a prompt is added first and so evicted first: a block is useless without those before it.
        for (let place = blocks.length - 1; place >= 0; place--) {
            this.addHolders(blocks[place]!, added);
        }
        this.trim();
    }

    /**
     * Updates the trust in a prompt's blocks from a response. A hit applies to every stage; a miss may be caused by any
     * one of them, so it is divided among them. The blocks stay recorded after a miss, since the request has just
     * recomputed them, but the chance that the next request finds them cached is no higher than it was for this one.
     */
    updateTrust(states: readonly TargetState[], blocks: readonly string[], { expected, seen }: CacheObservation): void {
        // A complete miss is reported exactly; only the depth of a hit is subject to error.
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
     * Estimates how many leading blocks of a prompt each target has cached. The estimate decreases with the age of the
     * record and with lost events.
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
        if (holder.trust < minTrust || holder.generation !== state.cacheGeneration) {
            return;
        }
        const age = this.options.clock.now() - holder.storedAt;
        const fresh = 2 ** -(age / this.options.cacheHalfLife);
        // With eviction in LRU order nearly all blocks survive until the whole cache has been replaced, and few after.
        const survival = minSurvival + (1 - minSurvival) * 2 ** -((age * state.evictionRate) ** 2);
        // Responses and the eviction rate show the same effect, so only the lower value is applied.
        const trust = Math.min(holder.trust, survival) * fresh * trustAfterGap ** (state.cacheGaps - holder.gaps);
        // A few blocks with high trust can be worth more than many with low trust.
        found.set(state, Math.max(found.get(state) ?? 0, depth * trust));
    }

    /** Finds the number of recorded leading blocks by binary search: if a block is recorded, so are those before it. */
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
        // Deleting it first moves the block to the end of the map, which is ordered by last use.
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

/** Returns the index of the holder that stored the block longest ago. */
function oldest(holders: readonly Holder[]): number {
    let found = 0;
    holders.forEach((holder, place) => {
        if (holder.storedAt < holders[found]!.storedAt) {
            found = place;
        }
    });
    return found;
}
