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
    askedDigest,
    buildTransaction,
    changeKey,
    type ChangeRow,
    changeRowSchema,
    unknownAsked,
    withoutFields,
} from "./transaction.js";

const defaultPatience = 8000;
const defaultRetainedEntries = 4096;
const firstPause = 20;
const longestPause = 1000;
const headReads = 4;

/**
 * Options of {@link ResourceStore}.
 *
 * @public
 */
export interface ResourceStoreOptions {
    readonly log: StoreLog;
    /** The state that is kept in step with the store; usually the one in force in this process. */
    readonly state: RevisionState;
    readonly clock: Clock;
    readonly random: Random;
    readonly record?: HistoryRecorder;
    /** Runs after each change that this process accepted, so that it can be told to others at once. */
    readonly onAccepted?: (entry: LogEntry) => void;
    /**
     * Finds the highest revision that any process has in force; fails unless each has answered. It is asked once in each era of the
     * store, since a copy may lack changes that only other processes know. By default there are no others.
     */
    readonly findNewest?: () => Promise<Outcome<number>>;
    /** Milliseconds for which a change is tried while the store fails. */
    readonly patience?: number;
    /** How many log entries the store keeps; each new entry removes the one that falls out. */
    readonly retainedEntries?: number;
}

/**
 * A change that was accepted, or one that would be.
 *
 * @public
 */
export interface Accepted {
    /** The revision that holds the change, or the current one when nothing was changed. */
    readonly revision: number;
    /** The id under which the change can be asked for again. */
    readonly changeId: string;
    readonly results: readonly ChangeResult[];
}

/**
 * What came of a change: accepted, or every reason against it.
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
    /** Unique for each change. Sending a change again under its id never applies it twice. */
    readonly changeId: string;
    /** Checks everything, and writes nothing. */
    readonly dryRun?: boolean;
    /** Versions that other rows of the store must have for the change to take effect, such as a duty's fence row. */
    readonly conditions?: Transaction["conditions"];
}

/** One change on its way, over all its attempts. */
interface Attempt extends ApplyOptions {
    readonly changes: readonly DesiredChange[];
    readonly deadline: number;
    count: number;
    /** True once a transaction was sent whose outcome is not known. */
    inDoubt: boolean;
}

/** What a step decided: the end of the change, or a reason to try again. */
type Step = { readonly done: ChangeOutcome; } | { readonly retry: Failure; };

/**
 * Accepts changes of resources. Each is one transaction over the resources' rows, a new row of the log and the head
 * row. The head row's condition puts all changes in one order, so each is checked against exactly the state it follows.
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
    /** The era of the store in which the state was found to be the newest. */
    private newestEra = 0;
    private readonly patience: number;
    private readonly retainedEntries: number;
    /** Changes that ended as unknown; when one shows up in the log after all, that is recorded. */
    private readonly inDoubt = new Set<string>();
    /** Changes of this process wait for one another, so that they do not race for the head row. */
    private queue: Promise<unknown> = Promise.resolve();

    constructor(options: ResourceStoreOptions) {
        this.log = options.log;
        this.state = options.state;
        this.clock = options.clock;
        this.random = options.random;
        this.record = options.record ?? (() => undefined);
        this.onAccepted = options.onAccepted ?? (() => undefined);
        this.findNewest = options.findNewest ?? (() => Promise.resolve(Result.ok(0)));
        this.patience = options.patience ?? defaultPatience;
        this.retainedEntries = options.retainedEntries ?? defaultRetainedEntries;
        this.state.onChange(revision => this.recordDoubtful(revision));
    }

    /**
     * Accepts changes together or not at all.
     *
     * @returns The revision, or the reasons: faults of the input, `conflict` when a resource has another version than
     * the one given, `storeUnavailable` when nothing was written, `storeUnknown` when the change may have been accepted
     * and asking again under the same id will tell.
     */
    apply(changes: readonly DesiredChange[], options: ApplyOptions): Promise<ChangeOutcome> {
        const deadline = this.clock.now() + this.patience;
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
            await sleep(this.clock, this.pause(attempt.count));
            attempt.count++;
        }
    }

    private pause(count: number): number {
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
            return { done: this.repeated(earlier.value, attempt) };
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

    /** Brings the state exactly up to the head row, since a change must follow the state that it was checked against. */
    private async synchronise(): Promise<Outcome<HeadRow>> {
        for (let read = 0; read < headReads; read++) {
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

    /** Makes sure that no process has a change in force which a copy of the store lacks and this process has not heard of. */
    private async confirmNewest(): Promise<Outcome<void>> {
        const { era } = this.log.store;
        if (era === this.newestEra) {
            return Result.ok<void, never>(undefined);
        }
        const newest = await this.findNewest();
        if (newest.isErr) {
            return Result.err(newest.error);
        }
        if (newest.value > this.state.revision) {
            return Result.err(failure(platformCodes.storeUnavailable, "a later change is being written again"));
        }
        this.newestEra = era;
        return Result.ok<void, never>(undefined);
    }

    /**
     * Ends a change that writes nothing. Reads may be stale, but conditions see the truth: a transaction without writes
     * proves that the judgement was made on the newest state.
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
        const row = { revision, writeId, asked: askedDigest(attempt.changes), results: results.map(withoutFields) };
        const built = buildTransaction(entry, row, head, versions.value, expired.value);
        const transaction = { ...built, conditions: [...built.conditions, ...attempt.conditions ?? []] };
        const committed = await this.log.store.commit(transaction);
        const certain = committed.isOk ? committed : await this.resolve(transaction, committed.error, attempt);
        if (certain.isErr) {
            return { retry: certain.error };
        }
        this.state.apply([entry]);
        this.onAccepted(entry);
        return { done: this.accepted({ ...row, results }, attempt.changeId) };
    }

    /** The rows that fall out of the log with a new revision: the oldest entry, and the row of its change. */
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
     * Finds out whether a transaction with a lost answer took effect. When the store says that it did not, a delayed
     * copy of it may still arrive; but every later transaction of this change names the same head row and the same
     * change row in its conditions, so only one of them can take effect.
     */
    private async resolve({ writeId }: Transaction, error: Failure, attempt: Attempt): Promise<Outcome<true>> {
        if (error.code !== platformCodes.storeUnknown) {
            return Result.err(error);
        }
        attempt.inDoubt = true;
        const found = await this.log.store.findCommit(writeId);
        return found.andThen(versions => versions === undefined ? Result.err(error) : Result.ok(true));
    }

    /** The store's versions of the rows that an entry changes, if the rows are those that the state knows. */
    private async rowVersions(entry: LogEntry): Promise<Outcome<Map<string, number>>> {
        const keys = entry.changes.map(({ kind, name }) => resourceKey(kind, name));
        const rows = await this.log.resourceRows(keys);
        return rows.andThen(found => {
            const versions = new Map<string, number>();
            for (const { kind, name } of entry.changes) {
                const key = resourceRowKey(resourceKey(kind, name));
                const row = found.get(key) ?? { key, value: undefined, version: 0 };
                if (!matches(row, this.state.get(kind, name)?.resourceVersion)) {
                    return Result.err(failure(platformCodes.storeUnavailable, "a resource's row was read late"));
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
        const reason = last.code === platformCodes.conditionFailed ? "too many changes race for the log" : last.message;
        return failure(platformCodes.storeUnavailable, `nothing was written: ${reason}`);
    }

    private recordDoubtful(revision: number): void {
        if (this.inDoubt.size === 0) {
            return;
        }
        for (const { changeId, writeId, revision: accepted } of this.state.since(this.state.oldest) ?? []) {
            if (accepted <= revision && this.inDoubt.delete(changeId)) {
                this.record({ event: "config.accepted", revision: accepted, writeId });
            }
        }
    }

    /** Answers a change that was accepted earlier, unless its id now stands for something else. */
    private repeated(row: ChangeRow, { changeId, changes }: Attempt): ChangeOutcome {
        return row.asked === unknownAsked || row.asked === askedDigest(changes)
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
