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
    /** How long the result of a transaction can be asked for, in milliseconds. */
    readonly writeIdMemory?: number;
    /** Called for each transaction that takes effect, with its write id. */
    readonly onEffect?: (writeId: string) => void;
}

interface StoredRow {
    readonly value: unknown;
    readonly version: number;
}

interface RememberedCommit {
    readonly time: number;
    readonly versions: Record<string, number>;
}

/** Ten minutes, in milliseconds. */
const defaultWriteIdMemory = 600_000;

/**
 * A stand-in for the table service that lives in memory. It does not look at the write id of a commit: one that
 * arrives twice takes effect twice unless its conditions prevent that, as the most careless of real services would.
 *
 * @public
 */
export class MemoryTableStore implements TableStore {
    readonly faults: FaultInjector;
    private readonly clock: Clock;
    private readonly writeIdMemory: number;
    private readonly onEffect: (writeId: string) => void;
    private readonly rows = new Map<string, StoredRow>();
    private readonly commits = new Map<string, RememberedCommit>();
    private staleRows: Map<string, StoredRow> | undefined;
    private sorted: { readonly rows: Map<string, StoredRow>; readonly keys: readonly string[]; } | undefined;
    /** One counter for all rows, so that a row deleted and written again never repeats a version. */
    private version = 0;
    private copiesUsed = 0;

    constructor(options: MemoryTableStoreOptions) {
        this.clock = options.clock;
        this.writeIdMemory = options.writeIdMemory ?? defaultWriteIdMemory;
        this.onEffect = options.onEffect ?? (() => {});
        this.faults = new FaultInjector(options.clock);
    }

    get era(): number {
        return this.copiesUsed;
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
            this.forgetCommits();
            return Result.ok(this.commits.get(writeId)?.versions);
        });
    }

    /**
     * Comes back from a copy of itself, as a real service may after a loss: what was written since is gone, and its versions are given
     * out again.
     *
     * @returns What goes back to the present rows.
     */
    saveCopy(): () => void {
        const rows = new Map(this.rows);
        const { version } = this;
        return () => {
            this.rows.clear();
            rows.forEach((row, key) => this.rows.set(key, row));
            this.commits.clear();
            this.version = version;
            this.copiesUsed++;
            this.sorted = undefined;
        };
    }

    private keysAfter(prefix: string, after: string, limit: number): string[] {
        const rows = this.readable();
        if (this.sorted?.rows !== rows) {
            this.sorted = { rows, keys: [...rows.keys()].sort() };
        }
        const { keys } = this.sorted;
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
        this.forgetCommits();
        this.commits.set(transaction.writeId, { time: this.clock.now(), versions });
        this.onEffect(transaction.writeId);
        return Result.ok(versions);
    }

    private write(key: string, value: unknown): number {
        if ((value === undefined) === this.rows.has(key)) {
            this.sorted = undefined;
        }
        if (value === undefined) {
            this.rows.delete(key);
            return 0;
        }
        this.rows.set(key, { value, version: this.version });
        return this.version;
    }

    private row(key: string): Row {
        const stored = this.readable().get(key);
        return { key, value: structuredClone(stored?.value), version: stored?.version ?? 0 };
    }

    private readable(): Map<string, StoredRow> {
        if (!this.faults.faults.stale) {
            this.staleRows = undefined;
            return this.rows;
        }
        this.staleRows ??= new Map(this.rows);
        return this.staleRows;
    }

    private forgetCommits(): void {
        const oldest = this.clock.now() - this.writeIdMemory;
        for (const [writeId, commit] of this.commits) {
            if (commit.time >= oldest) {
                return;
            }
            this.commits.delete(writeId);
        }
    }
}

/** The first index for which a condition holds that holds for all later ones too. */
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
