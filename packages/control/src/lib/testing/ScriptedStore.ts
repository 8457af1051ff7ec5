import { type Row, type TableStore, type Transaction } from "@waxwingspar/stores";
import { failure, type Outcome, platformCodes } from "@waxwingspar/utils";
import { Result } from "true-myth";

/** A fault of a commit: when it takes effect, and when the caller gets the response. @internal */
export interface CommitFault {
    readonly effect: "now" | "late" | "never";
    readonly answer: "now" | "held" | "lost";
}

/**
 * An in-memory table store with scripted commit faults, so that a test can reach every interleaving.
 *
 * @internal
 */
export class ScriptedStore implements TableStore {
    readonly era = 0;
    /** False while the store is down: every call fails without effect. */
    up = true;
    /** Faults of the next commits, in order. Further commits succeed at once. */
    readonly faults: CommitFault[] = [];
    reads = 0;
    writes = 0;
    private staleRows: ReadonlyMap<string, Row> | undefined;
    private readonly rows = new Map<string, Row>();
    private readonly commits = new Map<string, Record<string, number>>();
    private readonly late: (() => void)[] = [];
    private readonly heldAnswers: (() => void)[] = [];

    get(key: string): Promise<Outcome<Row>> {
        this.reads++;
        const row = this.staleRows === undefined ? this.row(key) : this.staleRows.get(key);
        return Promise.resolve(this.up ? Result.ok(row ?? { key, value: undefined, version: 0 }) : this.refusal());
    }

    scan(prefix: string, after: string, limit: number): Promise<Outcome<Row[]>> {
        this.reads++;
        const keys = [...this.rows.keys()].filter(key => key.startsWith(prefix) && key > after).sort();
        const rows = keys.slice(0, limit).map(key => this.row(key));
        return Promise.resolve(this.up ? Result.ok(rows) : this.refusal());
    }

    commit(transaction: Transaction): Promise<Outcome<Record<string, number>>> {
        this.writes++;
        if (!this.up) {
            return Promise.resolve(this.refusal());
        }
        const fault = this.faults.shift() ?? { effect: "now", answer: "now" };
        if (fault.effect === "late") {
            this.late.push(() => void this.apply(transaction));
        }
        const applied = fault.effect === "now" ? this.apply(transaction) : undefined;
        return this.answer(applied ?? this.unknown(), fault.answer);
    }

    findCommit(writeId: string): Promise<Outcome<Record<string, number> | undefined>> {
        this.reads++;
        return Promise.resolve(this.up ? Result.ok(this.commits.get(writeId)) : this.refusal());
    }

    /** Makes reads return the rows as they are now, or the current rows again. */
    setStale(stale: boolean): void {
        this.staleRows = stale ? new Map(this.rows) : undefined;
    }

    /** Applies every late commit whose conditions still hold. */
    applyLate(): void {
        this.late.splice(0).forEach(apply => apply());
    }

    /** Delivers every held response. */
    deliver(): void {
        this.heldAnswers.splice(0).forEach(deliver => deliver());
    }

    private answer<T>(outcome: Outcome<T>, when: CommitFault["answer"]): Promise<Outcome<T>> {
        if (when === "lost") {
            return Promise.resolve(this.unknown());
        }
        if (when === "now") {
            return Promise.resolve(outcome);
        }
        return new Promise(resolve => this.heldAnswers.push(() => resolve(outcome)));
    }

    private apply(transaction: Transaction): Outcome<Record<string, number>> {
        if (transaction.conditions.some(({ key, version }) => this.row(key).version !== version)) {
            return Result.err(failure(platformCodes.conditionFailed, "a row has changed"));
        }
        const versions: Record<string, number> = {};
        for (const { key, value } of transaction.writes) {
            const version = this.row(key).version + 1;
            this.rows.set(key, { key, value, version });
            versions[key] = version;
        }
        this.commits.set(transaction.writeId, versions);
        return Result.ok(versions);
    }

    /** Returns the current row, even while reads are stale or the store is down. */
    row(key: string): Row {
        return this.rows.get(key) ?? { key, value: undefined, version: 0 };
    }

    private refusal<T>(): Outcome<T> {
        return Result.err(failure(platformCodes.storeUnavailable, "the store is down"));
    }

    private unknown<T>(): Outcome<T> {
        return Result.err(failure(platformCodes.storeUnknown, "the answer was lost"));
    }
}
