import { type HistoryRecorder } from "@waxwingspar/history";
import { type Row, type Transaction } from "@waxwingspar/stores";
import {
    type Clock,
    type Failure,
    failure,
    type Outcome,
    platformCodes,
    type Random,
    requestCodes,
    sleep,
} from "@waxwingspar/utils";
import { Result } from "true-myth";
import { type LogEntry, logEntrySchema, resourceKey, resourceSchema } from "../revisions/LogEntry.js";
import { headKey, type HeadRow, logKey, resourceRowKey } from "../revisions/logRows.js";
import { nextEntry, type RevisionState } from "../revisions/RevisionState.js";
import { type StoreLog } from "../revisions/StoreLog.js";
import { type DesiredChange } from "../validation/parseDesired.js";
import { type ResourceFailure } from "../validation/ResourceFailure.js";
import { type ChangeResult, planChanges } from "./planChanges.js";
import {
    buildTransaction,
    changeKey,
    type ChangeRow,
    changeRowSchema,
    requestDigest,
    unknownRequestDigest,
    withoutFields,
} from "./transaction.js";

const defaultRetryTimeout = 8000;
const defaultRetainedEntries = 4096;
const firstPause = 20;
const longestPause = 1000;
const maxHeadReads = 4;

/**
 * Options of {@link ResourceStore}.
 *
 * @public
 */
export interface ResourceStoreOptions {
    readonly log: StoreLog;
    /** The state that is kept synchronised with the store; usually the one in force in this process. */
    readonly state: RevisionState;
    readonly clock: Clock;
    readonly random: Random;
    readonly record?: HistoryRecorder;
    /** Runs after each change that this process accepted, so that it can be sent to other processes immediately. */
    readonly onAccepted?: (entry: LogEntry) => void;
    /**
     * Finds the highest revision in force in any process; fails unless each process has answered. It is called once per
     * store era, because a store restored from a copy may lack changes that only other processes have. By default, no
     * other processes are assumed.
     */
    readonly findNewest?: () => Promise<Outcome<number>>;
    /** Milliseconds for which a change is retried while the store fails. */
    readonly retryTimeout?: number;
    /** The number of log entries that the store retains; each new entry removes the oldest one beyond this number. */
    readonly retainedEntries?: number;
}

/**
 * The result of an accepted change or of a dry run.
 *
 * @public
 */
export interface Accepted {
    /** The revision that holds the change, or the current one if nothing was changed. */
    readonly revision: number;
    /** The ID under which the request can be repeated. */
    readonly changeId: string;
    readonly results: readonly ChangeResult[];
}

/**
 * The outcome of a change: accepted, or all reasons for its rejection.
 *
 * @public
 */
export type ChangeOutcome = Result<Accepted, readonly (Failure | ResourceFailure)[]>;

/**
 * Options of {@link ResourceStore.apply}.
 *
 * @public
 */
export interface ApplyOptions {
    /** Unique for each change. A change that is sent again with its ID is not applied twice. */
    readonly changeId: string;
    /** Validates the change without writing anything. */
    readonly dryRun?: boolean;
    /** Required versions of other rows of the store, such as the fencing row of a duty. */
    readonly conditions?: Transaction["conditions"];
}

/** A change in progress, across all its attempts. */
interface Attempt extends ApplyOptions {
    readonly changes: readonly DesiredChange[];
    readonly deadline: number;
    count: number;
    /** True once a transaction with an unknown outcome was sent. */
    inDoubt: boolean;
}

/** The result of one attempt: the final outcome, or the reason for a retry. */
type Step = { readonly done: ChangeOutcome; } | { readonly retry: Failure; };

/**
 * Accepts changes of resources. Each change is one transaction over the rows of its resources, a new log row and the
 * head row. The condition on the head row serialises all changes, so each is validated against exactly the state that
 * it follows.
 *
 * @public
 */
export class ResourceStore {
    private readonly log: StoreLog;
    private readonly state: RevisionState;
    private readonly clock: Clock;
    private readonly random: Random;
    private readonly record: HistoryRecorder;
    private readonly onAccepted: (entry: LogEntry) => void;
    private readonly findNewest: () => Promise<Outcome<number>>;
    /** The store era in which no other process was found to have a newer revision in force. */
    private confirmedEra = 0;
    private readonly retryTimeout: number;
    private readonly retainedEntries: number;
    /** Changes that ended with an unknown outcome. If one appears in the log later, its acceptance is recorded. */
    private readonly inDoubt = new Set<string>();
    /** Serialises the changes of this process, so that they do not compete for the head row. */
    private queue: Promise<unknown> = Promise.resolve();

    constructor(options: ResourceStoreOptions) {
        this.log = options.log;
        this.state = options.state;
        this.clock = options.clock;
        this.random = options.random;
        this.record = options.record ?? (() => undefined);
        this.onAccepted = options.onAccepted ?? (() => undefined);
        this.findNewest = options.findNewest ?? (() => Promise.resolve(Result.ok(0)));
        this.retryTimeout = options.retryTimeout ?? defaultRetryTimeout;
        this.retainedEntries = options.retainedEntries ?? defaultRetainedEntries;
        this.state.onChange(revision => this.recordInDoubt(revision));
    }

    /**
     * Accepts changes atomically.
     *
     * @returns The revision, or the reasons for the rejection: validation failures, `conflict` if a resource has
     * another version than expected, `storeUnavailable` if nothing was written, or `storeUnknown` if the change may
     * have been accepted; repeating the request with the same ID then gives the final outcome.
     */
    apply(changes: readonly DesiredChange[], options: ApplyOptions): Promise<ChangeOutcome> {
        const deadline = this.clock.now() + this.retryTimeout;
        const attempt: Attempt = { ...options, changes, deadline, count: 0, inDoubt: false };
        const result = this.queue.then(() => this.run(attempt));
        this.queue = result.catch(() => undefined);
        return result;
    }

    private async run(attempt: Attempt): Promise<ChangeOutcome> {
        for (;;) {
            const step = await this.step(attempt);
            if ("done" in step) {
                return step.done;
            }
            if (this.clock.now() >= attempt.deadline) {
                return Result.err([this.giveUp(attempt, step.retry)]);
            }
            await sleep(this.clock, this.backoff(attempt.count));
            attempt.count++;
        }
    }

    private backoff(count: number): number {
        const limit = Math.min(longestPause, firstPause * 2 ** Math.min(count, 10));
        return limit * (0.5 + this.random.next() / 2);
    }

    private async step(attempt: Attempt): Promise<Step> {
        const head = await this.synchronise();
        if (head.isErr) {
            return { retry: head.error };
        }
        const newest = await this.confirmNewest();
        if (newest.isErr) {
            return { retry: newest.error };
        }
        const earlier = await this.findAccepted(attempt.changeId);
        if (earlier.isErr) {
            return { retry: earlier.error };
        }
        if (earlier.value !== undefined) {
            return { done: this.answerRepeat(earlier.value, attempt) };
        }
        const plan = planChanges(this.state, attempt.changes);
        if (plan.isErr) {
            return this.confirm(head.value, attempt, Result.err(plan.error));
        }
        const { changes, results } = plan.value;
        if (changes.length === 0 || attempt.dryRun === true) {
            const { changeId } = attempt;
            return this.confirm(head.value, attempt, Result.ok({ revision: this.state.revision, changeId, results }));
        }
        const ids = { changeId: attempt.changeId, writeId: `${attempt.changeId}.${attempt.count}` };
        return this.commit(nextEntry(this.state, changes, ids), head.value, attempt, results);
    }

    /** Synchronises the state with the head row, because a change must follow the state it was validated against. */
    private async synchronise(): Promise<Outcome<HeadRow>> {
        for (let read = 0; read < maxHeadReads; read++) {
            const head = await this.log.head();
            if (
                head.isErr || (head.value.revision === this.state.revision && head.value.digest === this.state.digest)
            ) {
                return head;
            }
            const advanced = await this.log.advance(this.state);
            if (advanced.isErr) {
                return Result.err(advanced.error);
            }
        }
        return Result.err(failure(platformCodes.storeUnavailable, "the head of the log moved or was read late"));
    }

    /** Checks once per store era that no process has changes in force that the store and this process lack. */
    private async confirmNewest(): Promise<Outcome<void>> {
        const { era } = this.log.store;
        if (era === this.confirmedEra) {
            return Result.ok<void, never>(undefined);
        }
        const newest = await this.findNewest();
        if (newest.isErr) {
            return Result.err(newest.error);
        }
        if (newest.value > this.state.revision) {
            return Result.err(
                failure(
                    platformCodes.storeUnavailable,
                    "another process has a newer revision in force that is not restored to the store yet",
                ),
            );
        }
        this.confirmedEra = era;
        return Result.ok<void, never>(undefined);
    }

    /**
     * Ends a change that writes nothing. Reads may be stale, but conditions are always checked against the newest rows,
     * so a transaction without writes proves that the outcome is based on the newest state.
     */
    private async confirm(head: HeadRow, attempt: Attempt, outcome: ChangeOutcome): Promise<Step> {
        const committed = await this.log.store.commit({
            writeId: `${attempt.changeId}.${attempt.count}.check`,
            conditions: [{ key: headKey, version: head.version }],
            writes: [],
        });
        return committed.isOk ? { done: outcome } : { retry: committed.error };
    }

    private async findAccepted(changeId: string): Promise<Outcome<ChangeRow | undefined>> {
        const row = await this.log.store.get(changeKey(changeId));
        return row.map(found => found.version === 0 ? undefined : changeRowSchema.parse(found.value));
    }

    private async commit(
        entry: LogEntry,
        head: HeadRow,
        attempt: Attempt,
        results: readonly ChangeResult[],
    ): Promise<Step> {
        const versions = await this.rowVersions(entry);
        if (versions.isErr) {
            return { retry: versions.error };
        }
        const expired = await this.expiredKeys(entry.revision);
        if (expired.isErr) {
            return { retry: expired.error };
        }
        const { revision, writeId } = entry;
        const row = { revision, writeId, asked: requestDigest(attempt.changes), results: results.map(withoutFields) };
        const built = buildTransaction(entry, row, head, versions.value, expired.value);
        const transaction = { ...built, conditions: [...built.conditions, ...attempt.conditions ?? []] };
        const committed = await this.log.store.commit(transaction);
        const certain = committed.isOk ? committed : await this.resolveCommit(transaction, committed.error, attempt);
        if (certain.isErr) {
            return { retry: certain.error };
        }
        this.state.apply([entry]);
        this.onAccepted(entry);
        return { done: this.accepted({ ...row, results }, attempt.changeId) };
    }

    /** The rows that expire with a new revision: the oldest log entry and the row of its change. */
    private async expiredKeys(revision: number): Promise<Outcome<string[]>> {
        const expired = revision - this.retainedEntries;
        if (expired <= 0) {
            return Result.ok([]);
        }
        const row = await this.log.store.get(logKey(expired));
        return row.map(found => {
            const entry = logEntrySchema.safeParse(found.value);
            return entry.success ? [logKey(expired), changeKey(entry.data.changeId)] : [logKey(expired)];
        });
    }

    /**
     * Finds out whether a transaction took effect whose response was lost. Even if the store reports that it did not, a
     * delayed copy may still arrive. But all later transactions of this change have conditions on the same head row and
     * the same change row, so only one of them can take effect.
     */
    private async resolveCommit({ writeId }: Transaction, error: Failure, attempt: Attempt): Promise<Outcome<true>> {
        if (error.code !== platformCodes.storeUnknown) {
            return Result.err(error);
        }
        attempt.inDoubt = true;
        const found = await this.log.store.findCommit(writeId);
        return found.andThen(versions => versions === undefined ? Result.err(error) : Result.ok(true));
    }

    /** Reads the row versions of the resources that an entry changes, and checks that the rows match the state. */
    private async rowVersions(entry: LogEntry): Promise<Outcome<Map<string, number>>> {
        const keys = entry.changes.map(({ kind, name }) => resourceKey(kind, name));
        const rows = await this.log.resourceRows(keys);
        return rows.andThen(found => {
            const versions = new Map<string, number>();
            for (const { kind, name } of entry.changes) {
                const key = resourceRowKey(resourceKey(kind, name));
                const row = found.get(key) ?? { key, value: undefined, version: 0 };
                if (!matches(row, this.state.get(kind, name)?.resourceVersion)) {
                    return Result.err(
                        failure(platformCodes.storeUnavailable, "the row of a resource was stale when it was read"),
                    );
                }
                versions.set(key, row.version);
            }
            return Result.ok(versions);
        });
    }

    private giveUp({ inDoubt, changeId }: Attempt, last: Failure): Failure {
        if (inDoubt) {
            this.inDoubt.add(changeId);
            return failure(
                platformCodes.storeUnknown,
                "the change may have been accepted; ask again under the same id",
            );
        }
        const reason = last.code === platformCodes.conditionFailed ? "too many concurrent changes" : last.message;
        return failure(platformCodes.storeUnavailable, `nothing was written: ${reason}`);
    }

    /** Records the acceptance of changes with an unknown outcome that are in the log after all. */
    private recordInDoubt(revision: number): void {
        if (this.inDoubt.size === 0) {
            return;
        }
        for (const { changeId, writeId, revision: accepted } of this.state.since(this.state.oldest) ?? []) {
            if (accepted <= revision && this.inDoubt.delete(changeId)) {
                this.record({ event: "config.accepted", revision: accepted, writeId });
            }
        }
    }

    /** Returns the outcome of a change that was accepted earlier, unless its ID is now used for another change. */
    private answerRepeat(row: ChangeRow, { changeId, changes }: Attempt): ChangeOutcome {
        return row.asked === unknownRequestDigest || row.asked === requestDigest(changes)
            ? this.accepted(row, changeId)
            : Result.err([failure(requestCodes.keyReused, "the id of this change was used for another change")]);
    }

    private accepted({ revision, writeId, results }: ChangeRow, changeId: string): ChangeOutcome {
        this.record({ event: "config.accepted", revision, writeId });
        return Result.ok({ revision, changeId, results });
    }
}

function matches(row: Row, known: number | undefined): boolean {
    const stored = resourceSchema.safeParse(row.value);
    return stored.success ? stored.data.resourceVersion === known : row.version === 0 && known === undefined;
}
