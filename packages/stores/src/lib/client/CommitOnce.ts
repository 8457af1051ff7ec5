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
    /** Milliseconds after which it gives up; below the store's memory of write ids. */
    readonly patience: number;
}

type Versions = Record<string, number>;

/**
 * Commits a transaction and finds out what became of it when the answer was lost.
 *
 * @internal
 */
export class CommitOnce {
    constructor(private readonly options: CommitOnceOptions) {}

    /**
     * Commits a transaction.
     *
     * @param mayRepeat - Whether two copies can never both take effect.
     */
    async run(transaction: Transaction, mayRepeat: (transaction: Transaction) => boolean): Promise<Outcome<Versions>> {
        const { store, clock, random, backoff, patience } = this.options;
        const deadline = clock.now() + patience;
        const first = await store.commit(transaction);
        if (!isUnknown(first)) {
            return first;
        }
        for (let attempt = 0; clock.now() < deadline; attempt++) {
            await sleep(clock, fullJitter(random, backoff, attempt));
            const outcome = await this.settle(transaction, mayRepeat(transaction), deadline);
            if (!isUnknown(outcome)) {
                return outcome;
            }
        }
        return first;
    }

    private async settle(
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

    /** A repeat that failed proves nothing about the first copy, which may have arrived in between. */
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

    /** "Not found" counts only until the deadline: later the store may have forgotten the write id. */
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
