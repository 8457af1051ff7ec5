import { type Clock } from "@waxwingspar/utils";
import { type Chain } from "../chains/Chain.js";

/** Milliseconds that requests stay on a target after it has left the chain: the longest streams of played days took 6.5 s. */
const longestStream = 7_000;
/**
 * Milliseconds without a whole chain after which borders between ranges may be moved. Chosen: a target that restarts, or
 * that replaces a lost one, is there after 2 to 4 s, and moved borders take 5 s and more.
 */
const shiftPatience = 1_500;

/** What the placement duty remembers of the chain of one data centre. */
export class DataCentreChain {
    private readonly usedAt = new Map<string, number>();
    private wholeAt: number;

    constructor(private readonly clock: Clock) {
        this.wholeAt = clock.now();
    }

    /** Takes the chain as it is now; undefined when the data centre has none. */
    update(chain: Chain | undefined): void {
        const now = this.clock.now();
        for (const [id, usedAt] of this.usedAt) {
            if (now - usedAt > longestStream) {
                this.usedAt.delete(id);
            }
        }
        if (chain !== undefined) {
            this.wholeAt = now;
            chain.hops.forEach(({ targetId }) => this.usedAt.set(targetId, now));
        }
    }

    /** Targets that requests may still be on. */
    get inUse(): ReadonlySet<string> {
        return new Set(this.usedAt.keys());
    }

    /** True once the data centre has had no whole chain for so long that waiting for targets to return no longer pays. */
    get isOutForLong(): boolean {
        return this.clock.now() - this.wholeAt > shiftPatience;
    }
}
