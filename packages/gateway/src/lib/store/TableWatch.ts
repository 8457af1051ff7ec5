import { type Clock, sleep } from "@waxwingspar/utils";
import { currentMoment, type Moment } from "../Moment.js";
import { type RowChange, type Store, type StoredRow, type StoreFailure } from "./Store.js";

/** Options of {@link TableWatch}. */
export interface TableWatchOptions {
    readonly clock: Clock;
    readonly store: Store;
    readonly table: string;
    /** Milliseconds that one call waits for changes. */
    readonly wait: number;
    /** Takes a whole table. What it lacks is gone, or may come back until `graceEnd` on the clock. */
    readonly onSnapshot: (rows: readonly StoredRow[], graceEnd: number) => void;
    /** Takes what changed, in the order in which it happened. */
    readonly onChanges: (changes: readonly RowChange[], graceEnd: number) => void;
    /**
     * The table was as told at some time after `asked`.
     *
     * @param held - Milliseconds for which the store held the call, since nothing changed: at their end the table was still
     * as told.
     */
    readonly onConfirmed?: (asked: Moment, held: number) => void;
    /** A call failed, the first one for a while; it had been under way for `waited` milliseconds. */
    readonly onLost?: (reason: string, waited: number) => void;
    /** The store answers again, so many milliseconds after it was lost and after the last call that failed was sent. */
    readonly onRegained?: (outage: number, sinceFailure: number) => void;
    /** Milliseconds from the sending of a call that failed to the next one, at least. Every call is priced, refused ones too. */
    readonly retryDelay?: number;
    /** Milliseconds after an outage in which rows that expired meanwhile are written again: the platform says about two seconds. */
    readonly returnTime?: number;
    /**
     * Milliseconds after the sending of the last call that failed at which the wait for such rows ends in any case. The
     * outage can have ended right after that sending, however late it was noticed.
     */
    readonly returnBound?: number;
    /** Milliseconds for which changes gather when they come in close succession, as at the start of a site. */
    readonly gatherTime?: number;
}

const defaults = { retryDelay: 200, returnTime: 2_050, returnBound: 2_950, gatherTime: 250 };
/** Calls in a row that brought changes after which further changes are gathered: each call is priced. */
const gatherAfter = 3;

/**
 * Follows one table of the store: a whole read first, then a chain of calls that each wait for changes. After any doubt
 * about the history it reads the table anew.
 */
export class TableWatch {
    private readonly options:
        & Required<Omit<TableWatchOptions, "onConfirmed" | "onLost" | "onRegained">>
        & TableWatchOptions;
    private version: number | undefined;
    private lostAt: number | undefined;
    private regainedAt = -Infinity;
    /** When the last call that failed was sent. */
    private failedCallAt = -Infinity;
    private stopped = false;
    private changesInARow = 0;

    constructor(options: TableWatchOptions) {
        this.options = { ...defaults, ...options };
    }

    /** Follows the table until {@link TableWatch.stop}. */
    async run(): Promise<void> {
        while (!this.stopped) {
            const asked = currentMoment(this.options.clock);
            const wait = this.nextWait;
            const result = this.version === undefined
                ? await this.readAll()
                : await this.waitForChanges(this.version, wait);
            if (this.stopped) {
                return;
            }
            if (result === "read" || result === "changed") {
                this.options.onConfirmed?.(asked, 0);
            }
            else if (result === "unchanged") {
                this.options.onConfirmed?.(asked, wait);
            }
            else {
                await this.afterFailure(result, asked.now);
            }
        }
    }

    stop(): void {
        this.stopped = true;
    }

    private async readAll(): Promise<"read" | StoreFailure> {
        const result = await this.options.store.read(this.options.table);
        if (result.kind !== "read") {
            return result;
        }
        this.regained();
        this.version = result.version;
        this.options.onSnapshot(result.rows, this.graceEnd());
        return "read";
    }

    private async waitForChanges(after: number, wait: number): Promise<"changed" | "unchanged" | StoreFailure> {
        const result = await this.options.store.watch(this.options.table, after, wait);
        if (result.kind !== "changes") {
            return result;
        }
        this.regained();
        this.version = result.version;
        if (result.changes.length === 0) {
            this.changesInARow = 0;
            return "unchanged";
        }
        this.options.onChanges(result.changes, this.graceEnd());
        this.changesInARow++;
        if (this.changesInARow >= gatherAfter) {
            await sleep(this.options.clock, this.options.gatherTime);
        }
        return "changed";
    }

    /**
     * A call that is held up by an outage must not hide its end: a process that was cut off learned 1.4 s after its return,
     * from a call that had still been waiting, that a target had left, and sent it a request 2.09 s after the leaving.
     */
    private get nextWait(): number {
        return this.lostAt === undefined ? this.options.wait : 0;
    }

    /**
     * A call that was given up after a while is made again at once: its connection alone may be at fault, and a process that
     * waits here as well goes on for so much longer with what it knew. One that was refused or reset is made again later.
     */
    private async afterFailure(failure: StoreFailure, asked: number): Promise<void> {
        if (failure.kind === "historyGone") {
            this.version = undefined;
            return;
        }
        this.failedCallAt = asked;
        if (this.lostAt === undefined) {
            this.lostAt = this.options.clock.now();
            this.options.onLost?.(failure.reason, this.lostAt - asked);
        }
        const elapsed = this.options.clock.now() - asked;
        await sleep(this.options.clock, Math.max(0, this.options.retryDelay - elapsed));
    }

    private regained(): void {
        if (this.lostAt !== undefined) {
            this.regainedAt = this.options.clock.now();
            this.options.onRegained?.(this.regainedAt - this.lostAt, this.regainedAt - this.failedCallAt);
            this.lostAt = undefined;
        }
    }

    /**
     * Until when vanished rows may come back. The return of the store counts from when it was noticed, since the rows are
     * back only some time after it. But a call that hung for long notices it late: without the bound a target that had
     * left got requests up to 1.2 s after its draining time (leavingTargets.test.ts run without it).
     */
    private graceEnd(): number {
        const { returnTime, returnBound } = this.options;
        return Math.min(this.regainedAt + returnTime, this.failedCallAt + returnBound);
    }
}
