import { type Clock, failure, type Outcome, platformCodes, type Random, sleep } from "@waxwingspar/utils";
import { Result } from "true-myth";
import { type TableStore, type Transaction } from "../TableStore.js";
import { type BackoffBounds, fullJitter } from "./fullJitter.js";

/**
 * Options of a {@link CommitOnce}.
 *
 * @internal
 */
export interface CommitOnceOptions {
    readonly store: Pick<TableStore, "commit" | "findCommit">;
    readonly clock: Clock;
    readonly random: Random;
    readonly backoff: BackoffBounds;
    /** Milliseconds after which it gives up. Must be below the time for which the store keeps write ids. */
    readonly maxDuration: number;
}

type Versions = Record<string, number>;

/**
 * Commits a transaction, and determines its result when the response was lost.
 *
 * @internal
 */
export class CommitOnce {
    constructor(private readonly options: CommitOnceOptions) {}

    /**
     * Commits a transaction.
     *
     * @param mayRepeat - Whether at most one of two copies of the transaction can take effect.
     */
    async run(transaction: Transaction, mayRepeat: (transaction: Transaction) => boolean): Promise<Outcome<Versions>> {
        const { store, clock, random, backoff, maxDuration } = this.options;
        const deadline = clock.now() + maxDuration;
        const first = await store.commit(transaction);
        if (!isUnknown(first)) {
            return first;
        }
        for (let attempt = 0; clock.now() < deadline; attempt++) {
            await sleep(clock, fullJitter(random, backoff, attempt));
            const outcome = await this.findOrRepeat(transaction, mayRepeat(transaction), deadline);
            if (!isUnknown(outcome)) {
                return outcome;
            }
        }
        return first;
    }

    private async findOrRepeat(
        transaction: Transaction,
        mayRepeat: boolean,
        deadline: number,
    ): Promise<Outcome<Versions>> {
        const found = await this.find(transaction.writeId, deadline);
        if (found.isErr) {
            return unknown();
        }
        if (found.value !== undefined) {
            return Result.ok(found.value);
        }
        return mayRepeat ? this.repeat(transaction, deadline) : unknown();
    }

    /**
     * Commits the transaction again. A failed repeat proves nothing about the first copy, which may have arrived in the
     * meantime, so the write id is looked up again after a failed condition.
     */
    private async repeat(transaction: Transaction, deadline: number): Promise<Outcome<Versions>> {
        const repeated = await this.options.store.commit(transaction);
        if (repeated.isOk) {
            return repeated;
        }
        if (repeated.error.code !== platformCodes.conditionFailed) {
            return unknown();
        }
        const found = await this.find(transaction.writeId, deadline);
        if (found.isErr) {
            return unknown();
        }
        return found.value === undefined ? repeated : Result.ok(found.value);
    }

    /** "Not found" is conclusive only before the deadline: afterwards the store may have dropped the write id. */
    private async find(writeId: string, deadline: number): Promise<Outcome<Versions | undefined>> {
        const found = await this.options.store.findCommit(writeId);
        const late = this.options.clock.now() >= deadline;
        return late && found.isOk && found.value === undefined ? unknown() : found;
    }
}

function isUnknown(outcome: Outcome<unknown>): boolean {
    return outcome.isErr && outcome.error.code === platformCodes.storeUnknown;
}

function unknown(): Outcome<never> {
    return Result.err(failure(platformCodes.storeUnknown, "the write may have taken effect"));
}
