import { type CompleteRouterOptions } from "./RouterOptions.js";
import { type TargetState } from "./TargetState.js";

/** Targets remembered for each block. */
const maxHolders = 16;
/** What remains of the trust in a block each time that events of its target were lost after it was stored. */
const trustAfterGap = 0.98;

interface Holder {
    readonly state: TargetState;
    readonly generation: number;
    readonly storedAt: number;
    /** The target's count of gaps at that time. */
    readonly gaps: number;
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
            return { state, generation, storedAt, gaps };
        });
        // The end of a prompt first, so that it is also forgotten first: a block is worthless without those before it.
        for (let place = blocks.length - 1; place >= 0; place--) {
            this.addHolders(blocks[place]!, added);
        }
        this.trim();
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
        if (found.has(state) || holder.generation !== state.cacheGeneration) {
            return;
        }
        const age = this.options.clock.now() - holder.storedAt;
        const trust = 2 ** -(age / this.options.cacheHalfLife) * trustAfterGap ** (state.cacheGaps - holder.gaps);
        found.set(state, depth * trust);
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
        holders[place] = holder;
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
