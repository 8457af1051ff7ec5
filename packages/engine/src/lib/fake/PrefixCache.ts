import { type CacheEvent } from "../Engine.js";

/** The number of tokens in a block of the prefix cache. @public */
export const blockTokens = 16;

/**
 * An LRU cache of complete blocks of keys. The key of an entry is the hash of the prefix up to the end of its block.
 *
 * @internal
 */
export class PrefixCache {
    private readonly blocks = new Map<string, Uint32Array>();

    /**
     * @param capacity - The maximum number of blocks.
     * @param publish - Called with an event for each change.
     */
    constructor(
        private readonly capacity: number,
        private readonly publish: (event: Omit<CacheEvent, "sequence">) => void,
    ) {}

    get size(): number {
        return this.blocks.size;
    }

    /** Returns the keys of a block and marks it as the most recently used. */
    get(hash: string): Uint32Array | undefined {
        const keys = this.blocks.get(hash);
        if (keys !== undefined) {
            this.blocks.delete(hash);
            this.blocks.set(hash, keys);
        }
        return keys;
    }

    /** Stores a copy of the keys of a block, and evicts the least recently used blocks if the cache is full. */
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
