import { type Failure } from "@waxwingspar/utils";

/**
 * The state of a claimed request in this incarnation.
 *
 * - `running`: it runs now.
 * - `interrupted`: it ran partially; only the same request may continue it.
 * - `ended`: it completed, and the answer is kept.
 * - `forgotten`: it ran, but its answer is no longer kept.
 * - `refused`: it did not run and never will here.
 *
 * @internal
 */
export type ClaimState = "running" | "interrupted" | "ended" | "forgotten" | "refused";

/** Receives the answer of a claimed request: the items so far, and those that follow. @internal */
export interface ClaimFollower<Item, End> {
    item(item: Item): void;
    end(end: End): void;
    /** Called when the request was interrupted or refused. */
    failed(reason: Failure): void;
}

/**
 * The growing answer of one claimed request, which is forwarded to its followers.
 *
 * @internal
 */
export class ClaimRecord<Item, End> {
    state: ClaimState = "running";
    /** True once the request was resumed after an interruption. */
    resumed = false;
    /** Approximate bytes of the kept answer. */
    bytes = 0;
    /** The reason of the refusal or interruption. */
    reason: Failure | undefined;
    /** The clock's time at which the record last left the state `running`. */
    stoppedAt = 0;
    private isTruncated = false;
    private kept: Item[] = [];
    private result: End | undefined;
    private readonly followers = new Set<ClaimFollower<Item, End>>();

    /**
     * @param id - The claim's id.
     * @param request - The request that runs under the claim; others with the same id are its duplicates.
     */
    constructor(readonly id: string, readonly request: string) {}

    get items(): readonly Item[] {
        return this.kept;
    }

    /** True once the answer is too large to be kept for duplicates. */
    get truncated(): boolean {
        return this.isTruncated;
    }

    /** Stops keeping the answer; current followers still receive the rest. */
    truncate(): void {
        this.isTruncated = true;
        this.kept = [];
        this.bytes = 0;
    }

    append(item: Item, bytes: number): void {
        if (!this.isTruncated) {
            this.kept.push(item);
            this.bytes += bytes;
        }
        this.followers.forEach(follower => follower.item(item));
    }

    end(end: End): void {
        this.state = "ended";
        this.result = end;
        this.followers.forEach(follower => follower.end(end));
        this.followers.clear();
    }

    /** Ends the run without a complete answer. */
    stop(state: "interrupted" | "refused", reason: Failure): void {
        this.state = state;
        this.reason = reason;
        this.followers.forEach(follower => follower.failed(reason));
        this.followers.clear();
    }

    /** Drops the answer and remembers only that the request ran. */
    forget(): void {
        this.state = "forgotten";
        this.kept = [];
        this.bytes = 0;
        this.result = undefined;
    }

    /**
     * Forwards the answer from an item on, now and as it grows. May be called only in the states `running` and `ended`.
     *
     * @returns A function that removes the follower.
     */
    follow(follower: ClaimFollower<Item, End>, from = 0): () => void {
        this.kept.slice(from).forEach(item => follower.item(item));
        if (this.result !== undefined) {
            follower.end(this.result);
            return () => undefined;
        }
        this.followers.add(follower);
        return () => void this.followers.delete(follower);
    }
}
