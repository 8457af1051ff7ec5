import { type Clock } from "@waxwingspar/utils";
import { type Chain } from "../chains/Chain.js";

/** Milliseconds for which requests may stay on a target after it has left the chain; the longest streams take 6.5 s. */
const maxStreamDuration = 7_000;
/**
 * Milliseconds without a complete chain after which boundaries between ranges may be moved. A target that restarts, or
 * that replaces a lost one, is available after 2 to 4 s, while moving boundaries takes 5 s or more.
 */
const shiftDelay = 1_500;

/** Tracks the chain of one data centre: which targets it used recently, and since when it is incomplete. */
export class DataCentreChain {
    private readonly usedAt = new Map<string, number>();
    private lastCompleteAt: number;

    constructor(private readonly clock: Clock) {
        this.lastCompleteAt = clock.now();
    }

    /** Updates the state with the current chain, which is undefined when the data centre has none. */
    update(chain: Chain | undefined): void {
        const now = this.clock.now();
        for (const [id, usedAt] of this.usedAt) {
            if (now - usedAt > maxStreamDuration) {
                this.usedAt.delete(id);
            }
        }
        if (chain !== undefined) {
            this.lastCompleteAt = now;
            chain.hops.forEach(({ targetId }) => this.usedAt.set(targetId, now));
        }
    }

    /** Ids of targets that may still serve requests. */
    get inUse(): ReadonlySet<string> {
        return new Set(this.usedAt.keys());
    }

    /** Whether the data centre has had no complete chain for longer than {@link shiftDelay}. */
    get hasLongOutage(): boolean {
        return this.clock.now() - this.lastCompleteAt > shiftDelay;
    }
}
