import { type CacheEvent } from "../Engine.js";

/** How many tokens one block of the prefix cache holds. @public */
export const blockTokens = 16;

/**
 * Whole blocks of keys, by the hash of the prefix that each block ends, with the least recently used evicted first.
 *
 * @internal
 */
export class PrefixCache {
    private readonly blocks = new Map<string, Uint32Array>();

    /**
     * @param capacity - How many blocks fit.
     * @param publish - Takes each change.
     */
    constructor(
        private readonly capacity: number,
        private readonly publish: (event: Omit<CacheEvent, "sequence">) => void,
    ) {}

    get size(): number {
        return this.blocks.size;
    }

    /** The keys of a block, which counts as a use of it. */
    get(hash: string): Uint32Array | undefined {
        const keys = this.blocks.get(hash);
        if (keys !== undefined) {
            this.blocks.delete(hash);
            this.blocks.set(hash, keys);
        }
        return keys;
    }

    /** Stores a copy of a block's keys, and evicts others to make room. */
    put(hash: string, keys: Uint32Array): void {
        if (this.capacity === 0 || this.get(hash) !== undefined) {
            return;
        }
        this.evict(this.capacity - 1);
        this.blocks.set(hash, keys.slice());
        this.publish({ kind: "stored", blocks: [hash] });
    }

    clear(): void {
        this.blocks.clear();
        this.publish({ kind: "cleared", blocks: [] });
    }

    private evict(keep: number): void {
        const evicted: string[] = [];
        for (const hash of this.blocks.keys()) {
            if (this.blocks.size <= keep) {
                break;
            }
            this.blocks.delete(hash);
            evicted.push(hash);
        }
        if (evicted.length > 0) {
            this.publish({ kind: "evicted", blocks: evicted });
        }
    }
}
