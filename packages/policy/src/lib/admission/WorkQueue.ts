import { type Failure, type Outcome } from "@waxwingspar/utils";

/**
 * One piece of work that requests a slot of an agent.
 *
 * @public
 */
export interface WorkItem {
    readonly id: string;
    readonly organisation: string;
    /** Items of higher priority are served first. */
    readonly priority: number;
    /** Milliseconds left until the caller's deadline. */
    readonly timeLeft: number;
    /** Milliseconds left until the bound on the first token, or on the response to a plain call. */
    readonly startBound: number;
    /** Estimated prefill cost, in tokens. */
    readonly cost: number;
    /** Called when the item gets its slot. The owner then calls {@link WorkQueue.finish} when the work ends. */
    readonly start: () => void;
    /** Called when the item is refused after it was queued. It has not run. */
    readonly refuse: (failure: Failure) => void;
}

/**
 * The bounded queue of an agent. It admits items that can meet their bounds, and divides the slots among organisations
 * by weight.
 *
 * @public
 */
export interface WorkQueue {
    readonly running: number;
    readonly queued: number;
    /**
     * Offers an item, which starts immediately, is queued, or is refused before any work with `overloaded`,
     * `limitReached`, `deadlinePassed` or `stopping`.
     */
    offer(item: WorkItem): Outcome<"started" | "queued">;
    /**
     * Frees the slot of a started item.
     *
     * @param duration - Milliseconds for which the item held the slot.
     */
    finish(id: string, duration: number): void;
    /** Removes a queued item. Returns false when the item is not queued. */
    cancel(id: string): boolean;
    /** Records the time from an item's start to its first token, or between two later tokens, in milliseconds. */
    observe(firstToken: number | undefined, interval: number | undefined): void;
    /** Predicts the time to the first token of an item that arrives now, in milliseconds. */
    estimate(): number;
    /** Sets the weight of an organisation, and this target's share of its limits. */
    setShare(organisation: string, share: number, requestsPerSecond?: number, maxInFlight?: number): void;
    /** Refuses all queued and future items with `stopping`. None of them has run. */
    close(): void;
}
