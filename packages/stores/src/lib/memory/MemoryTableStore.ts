import { type Clock, failure, type Outcome, platformCodes } from "@waxwingspar/utils";
import { Result } from "true-myth";
import { type Row, type TableStore, type Transaction } from "../TableStore.js";
import { FaultInjector } from "./FaultInjector.js";

/**
 * Options of a {@link MemoryTableStore}.
 *
 * @public
 */
export interface MemoryTableStoreOptions {
    readonly clock: Clock;
    /** Milliseconds for which the result of a transaction can be looked up. */
    readonly writeIdRetention?: number;
    /** Called for each transaction that takes effect, with its write id. */
    readonly onEffect?: (writeId: string) => void;
}

interface StoredRow {
    readonly value: unknown;
    readonly version: number;
}

interface CommitRecord {
    readonly time: number;
    readonly versions: Record<string, number>;
}

/** Ten minutes, in milliseconds. */
const defaultWriteIdRetention = 600_000;

/**
 * An in-memory table service for tests and trials. It does not deduplicate commits by write id: a commit that arrives
 * twice takes effect twice unless its conditions prevent that. This models the weakest guarantee of a real service.
 *
 * @public
 */
export class MemoryTableStore implements TableStore {
    readonly faults: FaultInjector;
    private readonly clock: Clock;
    private readonly writeIdRetention: number;
    private readonly onEffect: (writeId: string) => void;
    private readonly rows = new Map<string, StoredRow>();
    private readonly commits = new Map<string, CommitRecord>();
    private staleRows: Map<string, StoredRow> | undefined;
    private sortedKeys: { readonly rows: Map<string, StoredRow>; readonly keys: readonly string[]; } | undefined;
    /** One counter for all rows, so that a row deleted and written again never reuses a version. */
    private version = 0;
    private restoreCount = 0;

    constructor(options: MemoryTableStoreOptions) {
        this.clock = options.clock;
        this.writeIdRetention = options.writeIdRetention ?? defaultWriteIdRetention;
        this.onEffect = options.onEffect ?? (() => {});
        this.faults = new FaultInjector(options.clock);
    }

    get era(): number {
        return this.restoreCount;
    }

    get(key: string): Promise<Outcome<Row>> {
        return this.faults.run("read", () => Result.ok(this.row(key)));
    }

    scan(prefix: string, after: string, limit: number): Promise<Outcome<Row[]>> {
        return this.faults.run("read", () => {
            return Result.ok(this.keysAfter(prefix, after, limit).map(key => this.row(key)));
        });
    }

    commit(transaction: Transaction): Promise<Outcome<Record<string, number>>> {
        const copy = structuredClone(transaction);
        return this.faults.run("write", () => this.apply(copy));
    }

    findCommit(writeId: string): Promise<Outcome<Record<string, number> | undefined>> {
        return this.faults.run("read", () => {
            this.evictCommits();
            return Result.ok(this.commits.get(writeId)?.versions);
        });
    }

    /**
     * Copies the rows. Restoring the copy discards all later writes and assigns their versions again, as a real service
     * may do after a loss of data.
     *
     * @returns A function that restores the copy.
     */
    saveCopy(): () => void {
        const rows = new Map(this.rows);
        const { version } = this;
        return () => {
            this.rows.clear();
            rows.forEach((row, key) => this.rows.set(key, row));
            this.commits.clear();
            this.version = version;
            this.restoreCount++;
            this.sortedKeys = undefined;
        };
    }

    private keysAfter(prefix: string, after: string, limit: number): string[] {
        const rows = this.readableRows();
        if (this.sortedKeys?.rows !== rows) {
            this.sortedKeys = { rows, keys: [...rows.keys()].sort() };
        }
        const { keys } = this.sortedKeys;
        const begin = after >= prefix ? firstIndex(keys, key => key > after) : firstIndex(keys, key => key >= prefix);
        const end = firstIndex(keys, key => key > prefix && !key.startsWith(prefix));
        return keys.slice(begin, Math.min(end, begin + limit));
    }

    private apply(transaction: Transaction): Outcome<Record<string, number>> {
        const broken = transaction.conditions.find(({ key, version }) =>
            (this.rows.get(key)?.version ?? 0) !== version
        );
        if (broken !== undefined) {
            return Result.err(failure(platformCodes.conditionFailed, `row ${broken.key} has another version`));
        }
        this.version++;
        const versions: Record<string, number> = {};
        for (const { key, value } of transaction.writes) {
            versions[key] = this.write(key, value);
        }
        this.evictCommits();
        this.commits.set(transaction.writeId, { time: this.clock.now(), versions });
        this.onEffect(transaction.writeId);
        return Result.ok(versions);
    }

    private write(key: string, value: unknown): number {
        if ((value === undefined) === this.rows.has(key)) {
            this.sortedKeys = undefined;
        }
        if (value === undefined) {
            this.rows.delete(key);
            return 0;
        }
        this.rows.set(key, { value, version: this.version });
        return this.version;
    }

    private row(key: string): Row {
        const stored = this.readableRows().get(key);
        return { key, value: structuredClone(stored?.value), version: stored?.version ?? 0 };
    }

    private readableRows(): Map<string, StoredRow> {
        if (!this.faults.faults.stale) {
            this.staleRows = undefined;
            return this.rows;
        }
        this.staleRows ??= new Map(this.rows);
        return this.staleRows;
    }

    private evictCommits(): void {
        const oldest = this.clock.now() - this.writeIdRetention;
        for (const [writeId, commit] of this.commits) {
            if (commit.time >= oldest) {
                return;
            }
            this.commits.delete(writeId);
        }
    }
}

/** Returns the index of the first key that meets a condition, by binary search; all later keys must meet it too. */
function firstIndex(keys: readonly string[], condition: (key: string) => boolean): number {
    let low = 0;
    let high = keys.length;
    while (low < high) {
        const middle = (low + high) >> 1;
        if (condition(keys[middle] ?? "")) {
            high = middle;
        }
        else {
            low = middle + 1;
        }
    }
    return low;
}
