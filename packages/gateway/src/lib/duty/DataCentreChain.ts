import { type Clock } from "@waxwingspar/utils";
import { type Chain } from "../chains/Chain.js";
import { type Placement } from "../chains/Placement.js";
import { LatestResult } from "./LatestResult.js";

/** Milliseconds for which requests may stay on a target after it has left the chain; the longest streams take 6.5 s. */
const maxStreamDuration = 7_000;
/**
 * Milliseconds without a complete chain after which boundaries between ranges may be moved. A target that restarts, or
 * that replaces a lost one, is available after 2 to 4 s, while moving boundaries takes 5 s or more.
 */
const shiftDelay = 1_500;

/** Tracks the chains of one data centre: which targets they used recently, and since when none is complete. */
export class DataCentreChain {
    /** Chains that were built last. */
    readonly current = new LatestResult<Chain[]>();
    /** The plan that was made last. */
    readonly plan = new LatestResult<Placement[]>();
    /** When targets were last used by the first chain. */
    private readonly usedAt = new Map<string, number>();
    /** When targets were last used by further chains. */
    private readonly furtherUsedAt = new Map<string, number>();
    private isComplete = false;
    private lastCompleteAt: number;

    constructor(private readonly clock: Clock) {
        this.lastCompleteAt = clock.now();
    }

    /** Updates the state with the current chains, the first one before the others. */
    update(chains: readonly Chain[]): void {
        const now = this.clock.now();
        const [first, ...further] = chains;
        this.isComplete = first !== undefined;
        if (first !== undefined) {
            this.lastCompleteAt = now;
        }
        updateUse(this.usedAt, first === undefined ? [] : [first], now);
        updateUse(this.furtherUsedAt, further, now);
    }

    /**
     * Ids of targets that may still serve requests. While no chain is complete, further chains serve none, and their
     * targets may take the lost layers.
     */
    get inUse(): ReadonlySet<string> {
        return new Set([...this.usedAt.keys(), ...this.isComplete ? this.furtherUsedAt.keys() : []]);
    }

    /** Whether the data centre has had no complete chain for longer than {@link shiftDelay}. */
    get hasLongOutage(): boolean {
        return this.clock.now() - this.lastCompleteAt > shiftDelay;
    }
}

function updateUse(usedAt: Map<string, number>, chains: readonly Chain[], now: number): void {
    for (const [id, at] of usedAt) {
        if (now - at > maxStreamDuration) {
            usedAt.delete(id);
        }
    }
    chains.forEach(({ hops }) => hops.forEach(({ targetId }) => usedAt.set(targetId, now)));
}
