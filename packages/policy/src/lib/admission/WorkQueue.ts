import { type Failure, type Outcome } from "@waxwingspar/utils";

/**
 * One piece of work that asks an agent for a slot.
 *
 * @public
 */
export interface WorkItem {
    readonly id: string;
    readonly organisation: string;
    /** Higher goes first. */
    readonly priority: number;
    /** Milliseconds left until the caller's deadline. */
    readonly timeLeft: number;
    /** Milliseconds left until the bound on the first token, or on the answer for plain calls. */
    readonly startBound: number;
    /** Estimated cost, in tokens to prefill. */
    readonly cost: number;
    /** Runs when the item gets its slot. The owner then calls {@link WorkQueue.finish}. */
    readonly start: () => void;
    /** Runs when the item is refused after it had been queued; it did not run. */
    readonly refuse: (failure: Failure) => void;
}

/**
 * The bounded queue of an agent: it admits against the bounds, and shares slots among organisations by weight.
 *
 * @public
 */
export interface WorkQueue {
    readonly running: number;
    readonly queued: number;
    /**
     * Offers an item. It starts at once, waits, or is refused before any work: `overloaded`, `limitReached`,
     * `deadlinePassed` or `stopping`.
     */
    offer(item: WorkItem): Outcome<"started" | "queued">;
    /**
     * Frees the slot of a started item.
     *
     * @param duration - Milliseconds for which it held the slot.
     */
    finish(id: string, duration: number): void;
    /** Takes an item that still waits out of the queue. Returns false when it is not waiting. */
    cancel(id: string): boolean;
    /** Records how long a first token took after its start, and the time between later tokens, in milliseconds. */
    observe(firstToken: number | undefined, interval: number | undefined): void;
    /** The predicted time to the first token of an item that arrives now, in milliseconds. */
    estimate(): number;
    /** Sets weight and limits of an organisation, this target's part of them. */
    setShare(organisation: string, share: number, requestsPerSecond?: number, maxInFlight?: number): void;
    /** Refuses everything from now on, and what waits, as not run. */
    close(): void;
}
