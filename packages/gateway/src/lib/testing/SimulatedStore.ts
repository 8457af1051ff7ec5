import { type Clock, type Timer } from "@waxwingspar/utils";
import {
    type ConditionalWrite,
    type RowChange,
    type Store,
    type StoredRow,
    type StoreFailure,
    type TableChanges,
    type TableSnapshot,
    watchSlack,
    type WriteResult,
} from "../store/Store.js";

type Snapshot = { readonly kind: "read"; } & TableSnapshot;
type Changes = { readonly kind: "changes"; } & TableChanges;

interface WaitingCall {
    readonly after: number;
    readonly answer: (changes: Changes) => void;
}

/** Milliseconds from a call to its answer, according to the platform's data sheet. */
const answerTime = 5;
/** Timeout of a read or write in milliseconds. */
const callTimeout = 1_000;

/**
 * A simulated store with one table, for tests of code that watches it. Calls time out if their connections fall silent
 * while they are in flight, or while the store is down.
 */
export class SimulatedStore implements Store {
    private readonly rows = new Map<string, StoredRow>();
    private readonly changes: (RowChange & { readonly version: number; })[] = [];
    private waiting = new Set<WaitingCall>();
    private version = 1;
    private era = 1;
    private copy: { readonly rows: readonly StoredRow[]; readonly version: number; } = { rows: [], version: 1 };
    private isDown = false;

    constructor(private readonly clock: Clock) {}

    /** Writes a row; undefined removes it. */
    put(key: string, value: unknown): void {
        const version = ++this.version;
        const row = value === undefined ? undefined : { key, value, version };
        if (row === undefined) {
            this.rows.delete(key);
        }
        else {
            this.rows.set(key, row);
        }
        this.changes.push({ key, row, version });
        for (const call of this.waiting) {
            this.waiting.delete(call);
            call.answer(this.changesAfter(call.after));
        }
    }

    /** Simulates changes of other tables, which raise the store's version. */
    changeOtherTables(count: number): void {
        this.version += count;
    }

    /** Makes every connection fall silent: calls in flight get no answer, later ones use new connections. */
    silenceConnections(): void {
        this.waiting.clear();
    }

    /** The current value of a row. */
    value(key: string): unknown {
        return this.rows.get(key)?.value;
    }

    /** Saves the copy that {@link SimulatedStore.restoreCopy} restores. */
    saveCopy(): void {
        this.copy = { rows: [...this.rows.values()], version: this.version };
    }

    /** Restores the copy: later writes are lost, their versions are reused, and calls in flight get no answer. */
    restoreCopy(): void {
        const { rows, version } = this.copy;
        this.era++;
        this.version = version;
        this.rows.clear();
        rows.forEach(row => this.rows.set(row.key, row));
        this.changes.splice(0, this.changes.length, ...this.changes.filter(change => change.version <= version));
        this.silenceConnections();
    }

    /** Stops or restarts the store. Calls in flight get no answer. */
    setDown(isDown: boolean): void {
        this.isDown = isDown;
        this.silenceConnections();
    }

    read(): Promise<Snapshot | StoreFailure> {
        return this.call<Snapshot>(
            callTimeout,
            answer => answer({ kind: "read", rows: [...this.rows.values()], version: this.version, era: this.era }),
        );
    }

    watch(_table: string, after: number, wait: number): Promise<Changes | StoreFailure> {
        return this.call<Changes | StoreFailure>(wait + watchSlack, answer => {
            if (after > this.version) {
                answer({ kind: "historyGone", era: this.era });
                return;
            }
            const changes = this.changesAfter(after);
            if (changes.changes.length > 0 || wait === 0) {
                answer(changes);
                return;
            }
            const call = { after, answer };
            this.waiting.add(call);
            this.clock.schedule(() => this.endWait(call), wait);
        });
    }

    write({ key, value, expectedVersion }: ConditionalWrite): Promise<WriteResult> {
        return this.call<WriteResult>(callTimeout, answer => {
            const row = this.rows.get(key);
            if ((row?.version ?? 0) !== expectedVersion) {
                answer({ kind: "conflict", rows: row === undefined ? [] : [row], era: this.era });
                return;
            }
            this.put(key, value);
            answer({ kind: "written", version: this.version, era: this.era });
        });
    }

    private endWait(call: WaitingCall): void {
        if (this.waiting.delete(call)) {
            call.answer(this.changesAfter(call.after));
        }
    }

    private changesAfter(after: number): Changes {
        return {
            kind: "changes",
            changes: this.changes.filter(({ version }) => version > after),
            version: this.version,
            era: this.era,
        };
    }

    /** Simulates a call that fails after `timeout` milliseconds unless it is answered. */
    private call<T>(timeout: number, receive: (answer: (reply: T) => void) => void): Promise<T | StoreFailure> {
        return new Promise(resolve => {
            const timer: Timer = this.clock.schedule(() => resolve({ kind: "unknown", reason: "timeout" }), timeout);
            if (this.isDown) {
                return;
            }
            receive(reply => {
                this.clock.schedule(() => {
                    timer.cancel();
                    resolve(reply);
                }, answerTime);
            });
        });
    }
}
