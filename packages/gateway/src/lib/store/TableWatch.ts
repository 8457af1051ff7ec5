import { type Clock, sleep, type Timer } from "@waxwingspar/utils";
import { ageOf, currentMoment, type Moment } from "../Moment.js";
import { type RowChange, type Store, type StoredRow, type StoreFailure } from "./Store.js";
import { type StoreEras } from "./StoreEras.js";
import { type Reliance } from "./watchWait.js";

/** What a gateway knows of a table. */
export interface TableWord {
    /** The version of the store at which the table last changed. */
    readonly version: number;
    /** The version of the store up to which this is known. */
    readonly seen: number;
    /** Milliseconds since the table was surely as known. */
    readonly age: number;
    /** The era of the store that the versions belong to; undefined where it tells none. */
    readonly era?: number;
}

/** Whether a process follows the store for itself, also for others that rely on it, or relies on others. */
export type WatchRole = "alone" | "leader" | "follower";

/** Options of {@link TableWatch}. */
export interface TableWatchOptions {
    readonly clock: Clock;
    readonly store: Store;
    readonly table: string;
    /** Milliseconds that one call waits for changes. */
    readonly wait: number;
    /**
     * Takes a whole table. What it lacks is gone, or may come back until `graceEnd` on the clock. A restored one comes from a copy that
     * the store went back to: what it holds may be older than what is known.
     */
    readonly onSnapshot: (rows: readonly StoredRow[], graceEnd: number, isRestored: boolean) => void;
    /** Takes what changed, in the order in which it happened. */
    readonly onChanges: (changes: readonly RowChange[], graceEnd: number) => void;
    /** The table was as told at some time after a moment, which is later than the one told before. */
    readonly onConfirmed?: (after: Moment) => void;
    /** The eras of the store; undefined where it has none. */
    readonly eras?: StoreEras;
    /** The table is known again after the store came back from a copy, so many milliseconds after that was noticed. */
    readonly onRestored?: (doubt: number) => void;
    /** How to rely on peers; undefined where this process follows the table by itself. */
    readonly reliance?: Reliance;
    /** What this process is for others just now. */
    readonly role?: () => WatchRole;
    /** A call failed, the first one for a while; it had been under way for `waited` milliseconds. */
    readonly onLost?: (reason: string, waited: number) => void;
    /** The store answers again, so many milliseconds after it was lost and after the last call that failed was sent. */
    readonly onRegained?: (outage: number, sinceFailure: number) => void;
    /** What peers said is so many milliseconds old, too old to rely on: this process asks the store itself. */
    readonly onDoubt?: (age: number) => void;
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

type OptionalName =
    | "onConfirmed"
    | "onLost"
    | "onRegained"
    | "onDoubt"
    | "onRestored"
    | "reliance"
    | "role"
    | "eras";

const defaults = { retryDelay: 200, returnTime: 2_050, returnBound: 2_950, gatherTime: 250 };
/** Milliseconds after its time at which a timer has surely come. */
const timerSlack = 5;
/** Calls in a row that brought changes after which further changes are gathered: each call is priced. */
const gatherAfter = 3;

/**
 * Follows one table of the store: a whole read first, then a chain of calls that each wait for changes. After any doubt
 * about the history it reads the table anew.
 *
 * A follower makes no calls while peers confirm that the table is as it knows it. It asks the store for what has changed when a
 * peer's word names a newer version, and follows the table by itself again when such words get too old.
 */
export class TableWatch {
    private readonly options:
        & Required<Omit<TableWatchOptions, OptionalName>>
        & TableWatchOptions;
    private version: number | undefined;
    /** The version at which the table last changed, as far as this process knows. */
    private changedAt = 0;
    private confirmedAt: Moment | undefined;
    /** The latest moment at which a peer's word confirmed what is known here. */
    private peerConfirmedAt: Moment | undefined;
    /** A peer knows of a change that has not been seen here. */
    private isBehind = false;
    /** What peers said got too old, so the next call must not wait for changes: its connection may be silent. */
    private isDoubtful = false;
    private wakeUp: () => void = () => undefined;
    private lostAt: number | undefined;
    private regainedAt = -Infinity;
    /** When the last call that failed was sent. */
    private failedCallAt = -Infinity;
    private stopped = false;
    private changesInARow = 0;
    /** When the store was noticed to have come back from a copy, until the table has been read since. */
    private restoredAt: number | undefined;
    /** Until when, on the clock, writes that the copy lacks may still be missing: nothing is confirmed before that. */
    private incompleteUntil = -Infinity;
    /** Reads the table once more. */
    private completion: Timer | undefined;
    private abandonCall: () => void = () => undefined;
    private readonly stopListening: () => void;

    constructor(options: TableWatchOptions) {
        this.options = { ...defaults, ...options };
        this.stopListening = options.eras?.onRise(() => this.startAnew()) ?? (() => undefined);
    }

    /** Follows the table until {@link TableWatch.stop}. */
    async run(): Promise<void> {
        while (!this.stopped) {
            await this.rely();
            const asked = currentMoment(this.options.clock);
            const wait = this.nextWait;
            const result = this.version === undefined
                ? await this.readAll()
                : await this.waitForChanges(this.version, wait);
            if (this.stopped) {
                return;
            }
            if (result === "read" || result === "changed") {
                this.confirm(asked);
            }
            else if (result === "unchanged") {
                const held = this.timeHeld(asked, wait);
                this.confirm({ now: asked.now + held, date: asked.date + held });
            }
            else {
                await this.afterFailure(result, asked.now);
            }
        }
    }

    /**
     * For how long the store surely held a call in which nothing changed: at the end of that time the table was still as
     * known. An answer before the end of the wait may have been given at any time.
     */
    private timeHeld(asked: Moment, wait: number): number {
        const elapsed = this.options.clock.now() - asked.now;
        return elapsed < wait - timerSlack ? 0 : Math.min(wait, elapsed);
    }

    /** Follows the table no longer. */
    stop(): void {
        this.stopped = true;
        this.stopListening();
        this.completion?.cancel();
        this.wakeUp();
    }

    /**
     * The store came back from a copy, so no version that is known here means anything. The table is read anew at once, and once more
     * when the others have written again what the copy lacks; until then it confirms nothing.
     */
    private startAnew(): void {
        const now = this.options.clock.now();
        if (this.version !== undefined) {
            this.restoredAt ??= now;
        }
        this.incompleteUntil = now + this.options.returnTime;
        this.readAnew();
        this.completion?.cancel();
        this.completion = this.options.clock.schedule(() => this.readAnew(), this.options.returnTime + timerSlack);
    }

    private readAnew(): void {
        this.version = undefined;
        this.abandonCall();
        this.wakeUp();
    }

    /** What this process can tell its peers of the table; undefined before it knows it. */
    get word(): TableWord | undefined {
        const { version, changedAt, confirmedAt } = this;
        return confirmedAt === undefined || version === undefined
            ? undefined
            : {
                version: changedAt,
                seen: version,
                age: Math.ceil(ageOf(confirmedAt, this.options.clock)),
                era: this.options.eras?.current,
            };
    }

    /** Takes a peer's word, which it gave at some time after a moment. */
    hear({ version, seen, age, era }: TableWord, after: Moment): void {
        const isOfOtherEra = era !== undefined && this.options.eras?.note(era) === "older";
        if (this.version === undefined || isOfOtherEra) {
            return;
        }
        if (version > this.version) {
            this.isBehind = true;
            this.wakeUp();
            return;
        }
        // Nothing has changed in between. Without this the store would have forgotten what came after the version known here.
        this.version = Math.max(this.version, seen);
        const moment = { now: after.now - age, date: after.date - age };
        this.peerConfirmedAt = latest(this.peerConfirmedAt, moment);
        this.confirm(moment);
    }

    private confirm(moment: Moment): void {
        if (moment.now < this.incompleteUntil) {
            return;
        }
        const newest = latest(this.confirmedAt, moment);
        if (newest !== this.confirmedAt) {
            this.confirmedAt = newest;
            this.options.onConfirmed?.(newest);
        }
    }

    /** Waits while peers confirm what is known here, so that no call is needed. */
    private async rely(): Promise<void> {
        let hasRelied = false;
        while (this.mayRely) {
            hasRelied = true;
            await this.pause((this.options.reliance?.bound ?? 0) - this.peerAge);
        }
        if (hasRelied && !this.isBehind && !this.stopped) {
            this.isDoubtful = true;
            this.options.onDoubt?.(this.peerAge);
        }
    }

    /** Waits for some milliseconds, or until a peer's word wakes this process up. */
    private pause(duration: number): Promise<void> {
        return new Promise(resolve => {
            const timer = this.options.clock.schedule(resolve, duration + timerSlack);
            this.wakeUp = () => {
                timer.cancel();
                resolve();
            };
        });
    }

    private get mayRely(): boolean {
        const { reliance, role } = this.options;
        const isFollower = reliance !== undefined && role?.() === "follower";
        const isSure = this.version !== undefined && this.lostAt === undefined && !this.isBehind;
        return isFollower && isSure && !this.stopped && this.peerAge < reliance.bound;
    }

    private get peerAge(): number {
        return this.peerConfirmedAt === undefined ? Infinity : ageOf(this.peerConfirmedAt, this.options.clock);
    }

    private async readAll(): Promise<"read" | StoreFailure> {
        const result = await this.options.store.read(this.options.table);
        if (result.kind !== "read") {
            return result;
        }
        this.regained();
        this.version = result.version;
        this.changedAt = result.version;
        this.isBehind = false;
        const { restoredAt } = this;
        this.restoredAt = undefined;
        this.options.onSnapshot(result.rows, this.graceEnd(), this.options.clock.now() < this.incompleteUntil);
        if (restoredAt !== undefined) {
            this.options.onRestored?.(this.options.clock.now() - restoredAt);
        }
        return "read";
    }

    private async waitForChanges(after: number, wait: number): Promise<"changed" | "unchanged" | StoreFailure> {
        const result = await this.watchUntilAbandoned(after, wait);
        if (result.kind !== "changes") {
            return result;
        }
        this.regained();
        this.version = result.version;
        this.isBehind = false;
        this.isDoubtful = false;
        if (result.changes.length === 0) {
            this.changesInARow = 0;
            return "unchanged";
        }
        this.changedAt = Math.max(this.changedAt, ...result.changes.map(({ row }) => row?.version ?? result.version));
        this.options.onChanges(result.changes, this.graceEnd());
        this.changesInARow++;
        if (this.changesInARow >= gatherAfter) {
            await sleep(this.options.clock, this.options.gatherTime);
        }
        return "changed";
    }

    /** A call by a version that means nothing any more is not waited for. */
    private watchUntilAbandoned(after: number, wait: number): ReturnType<Store["watch"]> {
        return new Promise(resolve => {
            this.abandonCall = () => resolve({ kind: "historyGone" });
            void this.options.store.watch(this.options.table, after, wait).then(resolve);
        });
    }

    /**
     * A call that is held up by an outage must not hide its end: a process that was cut off learned 1.4 s after its return,
     * from a call that had still been waiting, that a target had left, and sent it a request 2.09 s after the leaving.
     */
    private get nextWait(): number {
        const { wait, reliance, role } = this.options;
        if (this.lostAt !== undefined || this.isBehind || this.isDoubtful) {
            return 0;
        }
        return role?.() === "leader" ? Math.min(wait, reliance?.wait ?? wait) : wait;
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
        if (this.options.clock.now() < this.incompleteUntil) {
            return this.incompleteUntil;
        }
        return Math.min(this.regainedAt + returnTime, this.failedCallAt + returnBound);
    }
}

function latest(known: Moment | undefined, other: Moment): Moment {
    return known === undefined || other.now > known.now ? other : known;
}
