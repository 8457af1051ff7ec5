import { sleep, type Timer } from "@waxwingspar/utils";
import { ageOf, currentMoment, latestMoment, type Moment } from "../Moment.js";
import { CallBackOff } from "./CallBackOff.js";
import { HistoryLimit } from "./HistoryLimit.js";
import { PeerReports } from "./PeerReports.js";
import { settle } from "./settle.js";
import { type ReplyProgress, type Store, type StoreFailure } from "./Store.js";
import {
    type CompleteTableWatchOptions,
    type TableDelivery,
    type TableStatus,
    tableWatchDefaults,
    type TableWatchOptions,
} from "./TableWatchOptions.js";
import { confirmationWait, minimumHoldTime } from "./watchWait.js";

/** Milliseconds by which a timer may fire early or late. */
const timerSlack = 5;
/**
 * Consecutive calls with changes after which further changes are collected into batches, because each call is billed.
 */
const batchThreshold = 3;
/** Milliseconds between two checks whether a peer still receives rows. */
const minFollowTime = 100;

/**
 * Follows one table of the store: reads it completely once, then makes consecutive long-poll calls for changes. It
 * reads the table again whenever the history of changes may be incomplete.
 *
 * A follower makes no calls while peers confirm the state that it knows. It polls the store when a peer reports a newer
 * version, or when the last confirmation by a peer is too old.
 */
export class TableWatch {
    private readonly options: CompleteTableWatchOptions;
    private version: number | undefined;
    /** The store version of the last change to the table that this process knows of. */
    private changedAt = 0;
    private confirmedAt: Moment | undefined;
    private readonly reports: PeerReports;
    /** Whether peers' confirmations are too old. The next call then does not wait: its connection may be dead. */
    private isPeerStateStale = false;
    private wakeUp: () => void = () => undefined;
    private lostAt: number | undefined;
    private regainedAt = -Infinity;
    /** When the last failed call was sent. */
    private lastFailedCallAt = -Infinity;
    private stopped = false;
    private consecutiveChanges = 0;
    /** Since when the reply to the current call is arriving; undefined if it has not begun. */
    private receivingSince: number | undefined;
    /** How often a reread was forced. Rows that were being applied then are of an earlier state of the store. */
    private rereads = 0;
    /** Whether the table must be read because its changes are gone or too long. */
    private mustReadTable = false;
    private readonly historyLimit = new HistoryLimit();
    private readonly backOff: CallBackOff;
    /** When a restore of the store from a copy was detected; undefined once the table has been read since. */
    private restoredAt: number | undefined;
    /** Until when, on the clock, a restored copy may still lack writes. Nothing is confirmed before that. */
    private recoveryEnd = -Infinity;
    /** Reads the table a second time once {@link recoveryEnd} has passed. */
    private rereadTimer: Timer | undefined;
    private cancelWait: () => void = () => undefined;
    private readonly stopListening: () => void;

    constructor(options: TableWatchOptions) {
        this.options = { ...tableWatchDefaults, ...options };
        this.reports = new PeerReports(options.clock);
        this.backOff = new CallBackOff(this.options);
        this.stopListening = options.eras?.onNewEra(() => this.handleNewEra()) ?? (() => undefined);
    }

    /** Follows the table until {@link TableWatch.stop}. */
    async run(): Promise<void> {
        while (!this.stopped) {
            await this.followPeers();
            if (await settle(() => this.readFromPeers()) === true) {
                continue;
            }
            const asked = currentMoment(this.options.clock);
            const wait = this.nextWait;
            const { version } = this;
            const mustRead = version === undefined || this.mustReadTable;
            const result = await settle(() => mustRead ? this.readAll() : this.waitForChanges(version, wait));
            this.receivingSince = undefined;
            if (this.stopped) {
                return;
            }
            if (result === "read" || result === "changed") {
                this.confirm(asked);
            }
            else if (result === "unchanged") {
                const held = minimumHoldTime(this.options.clock.now() - asked.now, wait);
                this.confirm({ now: asked.now + held, date: asked.date + held });
            }
            else {
                await this.handleFailure(result, asked.now);
            }
        }
    }

    /** Stops following the table. */
    stop(): void {
        this.stopped = true;
        this.stopListening();
        this.rereadTimer?.cancel();
        this.wakeUp();
    }

    /**
     * Handles a restore of the store from a copy, which invalidates all versions known here. Reads the table
     * immediately, and a second time when writers have had the time to write again what the copy lacks. Until then
     * nothing is confirmed.
     */
    private handleNewEra(): void {
        const now = this.options.clock.now();
        if (this.version !== undefined) {
            this.restoredAt ??= now;
        }
        this.recoveryEnd = now + this.options.rewriteTime;
        this.forceReread();
        this.rereadTimer?.cancel();
        this.rereadTimer = this.options.clock.schedule(() => this.forceReread(), this.options.rewriteTime + timerSlack);
    }

    private forceReread(): void {
        this.rereads++;
        this.version = undefined;
        this.reports.forget();
        this.cancelWait();
        this.wakeUp();
    }

    /** The state of the table to report to peers; undefined before the table has been read. */
    get status(): TableStatus | undefined {
        const { version, changedAt, confirmedAt } = this;
        return confirmedAt === undefined || version === undefined
            ? undefined
            : {
                version: changedAt,
                seen: version,
                age: Math.ceil(ageOf(confirmedAt, this.options.clock)),
                era: this.options.eras?.current,
                pending: this.receivingSince === undefined ? undefined : true,
            };
    }

    /**
     * Applies the state of the table that a peer reported.
     *
     * @param after - A moment before the peer sent its report.
     */
    applyPeerStatus({ version, seen, age, era, pending }: TableStatus, after: Moment): void {
        const isOfOtherEra = era !== undefined && this.options.eras?.observe(era) === "older";
        if (this.version === undefined || isOfOtherEra) {
            return;
        }
        if (pending === true) {
            this.reports.notePending();
        }
        if (version > this.version) {
            this.reports.noteNewer(version);
            this.wakeUp();
            return;
        }
        // The table has not changed up to `seen`. Without this step the version known here would eventually be older
        // than the history of changes that the store keeps.
        this.version = Math.max(this.version, seen);
        const moment = { now: after.now - age, date: after.date - age };
        this.reports.confirm(moment);
        this.confirm(moment);
    }

    /**
     * Milliseconds since this process learned of changes that it has not read yet, from a peer or because they are
     * arriving; undefined if it knows of none. A reply without changes arrives at once, so it is none.
     */
    get behindFor(): number | undefined {
        const { reports, receivingSince, options: { clock } } = this;
        return reports.newerFor ?? (receivingSince === undefined ? undefined : clock.now() - receivingSince);
    }

    /** Records that the table is known up to a version. */
    private reach(version: number): void {
        this.version = version;
        this.receivingSince = undefined;
        this.reports.reach(version);
    }

    private confirm(moment: Moment): void {
        if (moment.now < this.recoveryEnd) {
            return;
        }
        const newest = latestMoment(this.confirmedAt, moment);
        if (newest !== this.confirmedAt) {
            this.confirmedAt = newest;
            this.options.onConfirmed?.(newest);
        }
    }

    /** Waits while peers confirm the state known here, so that no call to the store is needed. */
    private async followPeers(): Promise<void> {
        let hasFollowed = false;
        while (this.mayFollowPeers) {
            hasFollowed = true;
            const left = (this.options.sharedWatch?.bound ?? 0) - this.reports.confirmationAge;
            await this.pause(Math.max(left, minFollowTime));
        }
        if (hasFollowed && !this.reports.hasNewer && !this.stopped) {
            this.isPeerStateStale = true;
            this.options.onPeersStale?.(this.reports.confirmationAge);
        }
    }

    /** Waits for a time in milliseconds, or until {@link wakeUp} is called. */
    private pause(duration: number): Promise<void> {
        return new Promise(resolve => {
            const timer = this.options.clock.schedule(resolve, duration + timerSlack);
            this.wakeUp = () => {
                timer.cancel();
                resolve();
            };
        });
    }

    private get mayFollowPeers(): boolean {
        const { sharedWatch, role } = this.options;
        const isUpToDate = this.version !== undefined && this.lostAt === undefined && !this.reports.hasNewer;
        if (sharedWatch === undefined || !isUpToDate || this.stopped) {
            return false;
        }
        const isFresh = this.reports.confirmationAge < sharedWatch.bound;
        const waitsForPeer = this.options.waitsForPeers === true && this.reports.isPending;
        return role?.() === "follower" && (isFresh || waitsForPeer);
    }

    /**
     * Reads the table from a peer if one has reported a change that is not known here. A peer's rows confirm nothing:
     * the confirmation comes with its next report.
     *
     * @returns Whether the change is known now.
     */
    private async readFromPeers(): Promise<boolean> {
        const { readFromPeers, onSnapshot, clock } = this.options;
        if (readFromPeers === undefined || this.version === undefined || !this.reports.hasNewer || this.stopped) {
            return false;
        }
        const snapshot = await readFromPeers(this.reports.version);
        // A restore of the store from a copy may have been detected meanwhile.
        const wasForgotten = (this.version as number | undefined) === undefined;
        if (snapshot === undefined || wasForgotten || this.stopped) {
            return false;
        }
        const { rows, version, encoded, progress } = snapshot;
        const delivery: TableDelivery = { source: "peer", progress, encoded, knownFor: this.reports.newerFor ?? 0 };
        await onSnapshot(rows, this.graceEnd(), clock.now() < this.recoveryEnd, delivery);
        if (this.version !== undefined) {
            this.reach(Math.max(this.version, version));
            this.changedAt = version;
        }
        return !this.reports.hasNewer;
    }

    private async readAll(): Promise<"read" | StoreFailure> {
        const result = await this.options.store.read(this.options.table, { onBegin: this.markReceiving });
        if (result.kind !== "read") {
            return result;
        }
        this.markRegained();
        const delivery = this.describeDelivery(result.progress);
        const { restoredAt, rereads } = this;
        this.restoredAt = undefined;
        const isRestored = this.options.clock.now() < this.recoveryEnd;
        await this.options.onSnapshot(result.rows, this.graceEnd(), isRestored, delivery);
        if (this.rereads !== rereads) {
            return { kind: "historyGone" };
        }
        this.mustReadTable = false;
        this.reach(result.version);
        this.changedAt = result.version;
        this.historyLimit.noteTable(result.progress);
        if (restoredAt !== undefined) {
            this.options.onRestored?.(this.options.clock.now() - restoredAt);
        }
        return "read";
    }

    private async waitForChanges(after: number, wait: number): Promise<"changed" | "unchanged" | StoreFailure> {
        const result = await this.watchUntilCancelled(after, wait);
        if (result.kind !== "changes") {
            return result;
        }
        this.markRegained();
        const delivery = this.describeDelivery(result.progress);
        const { rereads } = this;
        if (result.changes.length > 0) {
            await this.options.onChanges(result.changes, this.graceEnd(), delivery);
        }
        if (this.rereads !== rereads) {
            return { kind: "historyGone" };
        }
        this.reach(result.version);
        this.isPeerStateStale = false;
        if (result.changes.length === 0) {
            this.consecutiveChanges = 0;
            return "unchanged";
        }
        this.historyLimit.noteChanges(result.progress, result.changes.length);
        result.changes.forEach(({ row }) => this.changedAt = Math.max(this.changedAt, row?.version ?? result.version));
        this.consecutiveChanges++;
        if (this.consecutiveChanges >= batchThreshold) {
            await sleep(this.options.clock, this.options.batchDelay);
        }
        return "changed";
    }

    private describeDelivery(progress: ReplyProgress | undefined): TableDelivery {
        const replyTime = progress?.headAfter === undefined ? 0 : progress.duration - progress.headAfter;
        return { source: "store", progress, knownFor: Math.max(replyTime, this.reports.newerFor ?? 0) };
    }

    /** Waits for changes until {@link cancelWait} is called, because `after` is no longer a valid version. */
    private watchUntilCancelled(after: number, wait: number): ReturnType<Store["watch"]> {
        return new Promise((resolve, reject) => {
            this.cancelWait = () => resolve({ kind: "historyGone" });
            const { historyLimit: { maxBytes }, markReceiving: onBegin } = this;
            this.options.store.watch(this.options.table, after, wait, { maxBytes, onBegin }).then(resolve, reject);
        });
    }

    private readonly markReceiving = () => {
        this.receivingSince = this.options.clock.now();
    };

    /**
     * The wait of the next call. It is 0 during an outage, because a call that hangs would hide the end of the outage:
     * otherwise a process whose connection was restored read only 1.4 s later that a target had left, and sent it a
     * request 2.09 s after it left.
     */
    private get nextWait(): number {
        const { wait, sharedWatch, role, clock, maxConfirmationAge } = this.options;
        if (this.lostAt !== undefined || this.reports.hasNewer || this.isPeerStateStale) {
            return 0;
        }
        const leaderWait = role?.() === "leader" ? Math.min(wait, sharedWatch?.wait ?? wait) : wait;
        // Nothing is confirmed while a restored store may lack writes, so a shorter wait would be of no use.
        return this.confirmedAt === undefined || clock.now() < this.recoveryEnd
            ? leaderWait
            : Math.min(leaderWait, confirmationWait(ageOf(this.confirmedAt, clock), maxConfirmationAge));
    }

    /**
     * Immediately retries a call that timed out: only its connection may have failed, and any further delay lengthens
     * the time for which stale data is used. A call that was refused or reset quickly is retried after the retry delay.
     */
    private async handleFailure(failure: StoreFailure, asked: number): Promise<void> {
        if (failure.kind === "historyTooLong" || failure.kind === "historyGone") {
            this.mustReadTable = true;
            return;
        }
        this.lastFailedCallAt = asked;
        if (this.lostAt === undefined) {
            this.lostAt = this.options.clock.now();
            this.options.onLost?.(failure.reason, this.lostAt - asked);
        }
        const { clock, retryDelay } = this.options;
        const elapsed = clock.now() - asked;
        if (elapsed >= retryDelay) {
            return;
        }
        await sleep(clock, retryDelay - elapsed);
        const backOff = this.backOff.next();
        if (backOff > 0 && !this.reports.hasNewer) {
            await this.pause(backOff);
        }
    }

    private markRegained(): void {
        this.backOff.reset();
        if (this.lostAt !== undefined) {
            this.regainedAt = this.options.clock.now();
            this.options.onRegained?.(this.regainedAt - this.lostAt, this.regainedAt - this.lastFailedCallAt);
            this.lostAt = undefined;
        }
    }

    /**
     * Until when removed rows may still be written again. The time counts from when the end of the outage was noticed,
     * since rows are rewritten only after that end. A call that hangs notices it late, so the time is also bounded from
     * when the last failed call was sent: without that bound targets got requests up to 1.2 s after their drain time
     * (leavingTargets.test.ts).
     */
    private graceEnd(): number {
        const { rewriteTime, rewriteBound } = this.options;
        if (this.options.clock.now() < this.recoveryEnd) {
            return this.recoveryEnd;
        }
        return Math.min(this.regainedAt + rewriteTime, this.lastFailedCallAt + rewriteBound);
    }
}
