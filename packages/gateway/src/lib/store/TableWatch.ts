import { sleep, type Timer } from "@waxwingspar/utils";
import { ageOf, currentMoment, type Moment } from "../Moment.js";
import { CallBackOff } from "./CallBackOff.js";
import { type ReplyProgress, type Store, type StoreFailure } from "./Store.js";
import { type TableDelivery, type TableStatus, type TableWatchOptions } from "./TableWatchOptions.js";

type OptionalName =
    | "onConfirmed"
    | "onLost"
    | "onRegained"
    | "onPeersStale"
    | "onRestored"
    | "maxConfirmationAge"
    | "sharedWatch"
    | "role"
    | "eras"
    | "random";

const defaults = { retryDelay: 200, maxRetryDelay: 800, rewriteTime: 2_050, rewriteBound: 2_950, batchDelay: 250 };
/** Milliseconds by which a timer may fire early or late. */
const timerSlack = 5;
/**
 * Consecutive calls with changes after which further changes are collected into batches, because each call is billed.
 */
const batchThreshold = 3;
/** Milliseconds from the end of a call's wait until its reply, on a busy host or after one call that timed out. */
const confirmationCallTime = 1_000;
/** Milliseconds that a call waits while the last confirmation is young, because each call is billed. */
const minConfirmationWait = 500;
/** A history of changes with more than this number of times the bytes of the table is not read. */
const maxHistoryRatio = 2;
/** Bytes of a history that is read in any case: reading the table costs a call more. */
const minHistoryBytes = 262_144;

/**
 * Follows one table of the store: reads it completely once, then makes consecutive long-poll calls for changes. It
 * reads the table again whenever the history of changes may be incomplete.
 *
 * A follower makes no calls while peers confirm the state that it knows. It polls the store when a peer reports a newer
 * version, or when the last confirmation by a peer is too old.
 */
export class TableWatch {
    private readonly options:
        & Required<Omit<TableWatchOptions, OptionalName>>
        & TableWatchOptions;
    private version: number | undefined;
    /** The store version of the last change to the table that this process knows of. */
    private changedAt = 0;
    private confirmedAt: Moment | undefined;
    /** The latest moment to which a peer confirmed the state known here. */
    private peerConfirmedAt: Moment | undefined;
    /** When a peer first reported a change that this process has not read yet; undefined if there is none. */
    private behindSince: number | undefined;
    /** Whether peers' confirmations are too old. The next call then does not wait: its connection may be dead. */
    private isPeerStateStale = false;
    private wakeUp: () => void = () => undefined;
    private lostAt: number | undefined;
    private regainedAt = -Infinity;
    /** When the last failed call was sent. */
    private lastFailedCallAt = -Infinity;
    private stopped = false;
    private consecutiveChanges = 0;
    /** Bytes that a read of the table takes, at least, as far as known; undefined if replies are not measured. */
    private tableBytes: number | undefined;
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
        this.options = { ...defaults, ...options };
        this.backOff = new CallBackOff(this.options);
        this.stopListening = options.eras?.onNewEra(() => this.handleNewEra()) ?? (() => undefined);
    }

    /** Follows the table until {@link TableWatch.stop}. */
    async run(): Promise<void> {
        while (!this.stopped) {
            await this.followPeers();
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
                const held = this.minimumHoldTime(asked, wait);
                this.confirm({ now: asked.now + held, date: asked.date + held });
            }
            else {
                await this.handleFailure(result, asked.now);
            }
        }
    }

    /**
     * The minimum time for which the store held a call without changes: at its end the table was still unchanged. A
     * reply that came before the end of the wait may have been produced at any time, so it counts as 0.
     */
    private minimumHoldTime(asked: Moment, wait: number): number {
        const elapsed = this.options.clock.now() - asked.now;
        return elapsed < wait - timerSlack ? 0 : Math.min(wait, elapsed);
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
        this.version = undefined;
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
            };
    }

    /**
     * Applies the state of the table that a peer reported.
     *
     * @param after - A moment before the peer sent its report.
     */
    applyPeerStatus({ version, seen, age, era }: TableStatus, after: Moment): void {
        const isOfOtherEra = era !== undefined && this.options.eras?.observe(era) === "older";
        if (this.version === undefined || isOfOtherEra) {
            return;
        }
        if (version > this.version) {
            this.behindSince ??= this.options.clock.now();
            this.wakeUp();
            return;
        }
        // The table has not changed up to `seen`. Without this step the version known here would eventually be older
        // than the history of changes that the store keeps.
        this.version = Math.max(this.version, seen);
        const moment = { now: after.now - age, date: after.date - age };
        this.peerConfirmedAt = latest(this.peerConfirmedAt, moment);
        this.confirm(moment);
    }

    private get isBehind(): boolean {
        return this.behindSince !== undefined;
    }

    private confirm(moment: Moment): void {
        if (moment.now < this.recoveryEnd) {
            return;
        }
        const newest = latest(this.confirmedAt, moment);
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
            await this.pause((this.options.sharedWatch?.bound ?? 0) - this.peerAge);
        }
        if (hasFollowed && !this.isBehind && !this.stopped) {
            this.isPeerStateStale = true;
            this.options.onPeersStale?.(this.peerAge);
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
        const isFollower = sharedWatch !== undefined && role?.() === "follower";
        const isUpToDate = this.version !== undefined && this.lostAt === undefined && !this.isBehind;
        return isFollower && isUpToDate && !this.stopped && this.peerAge < sharedWatch.bound;
    }

    private get peerAge(): number {
        return this.peerConfirmedAt === undefined ? Infinity : ageOf(this.peerConfirmedAt, this.options.clock);
    }

    private async readAll(): Promise<"read" | StoreFailure> {
        const result = await this.options.store.read(this.options.table);
        if (result.kind !== "read") {
            return result;
        }
        this.markRegained();
        this.version = result.version;
        this.changedAt = result.version;
        this.tableBytes = result.progress?.bytes;
        const delivery = this.describeDelivery(result.progress);
        this.behindSince = undefined;
        const { restoredAt } = this;
        this.restoredAt = undefined;
        const isRestored = this.options.clock.now() < this.recoveryEnd;
        this.options.onSnapshot(result.rows, this.graceEnd(), isRestored, delivery);
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
        this.version = result.version;
        const delivery = this.describeDelivery(result.progress);
        this.behindSince = undefined;
        this.isPeerStateStale = false;
        if (result.changes.length === 0) {
            this.consecutiveChanges = 0;
            return "unchanged";
        }
        if (result.progress !== undefined) {
            this.tableBytes = Math.max(this.tableBytes ?? 0, result.progress.bytes / result.changes.length);
        }
        this.changedAt = Math.max(this.changedAt, ...result.changes.map(({ row }) => row?.version ?? result.version));
        this.options.onChanges(result.changes, this.graceEnd(), delivery);
        this.consecutiveChanges++;
        if (this.consecutiveChanges >= batchThreshold) {
            await sleep(this.options.clock, this.options.batchDelay);
        }
        return "changed";
    }

    private describeDelivery(progress: ReplyProgress | undefined): TableDelivery {
        const now = this.options.clock.now();
        const replyTime = progress?.headAfter === undefined ? 0 : progress.duration - progress.headAfter;
        return { source: "store", progress, knownFor: Math.max(replyTime, now - (this.behindSince ?? now)) };
    }

    /** Waits for changes until {@link cancelWait} is called, because `after` is no longer a valid version. */
    private watchUntilCancelled(after: number, wait: number): ReturnType<Store["watch"]> {
        return new Promise(resolve => {
            this.cancelWait = () => resolve({ kind: "historyGone" });
            void this.options.store.watch(this.options.table, after, wait, this.maxHistoryBytes).then(resolve);
        });
    }

    private get maxHistoryBytes(): number | undefined {
        return this.tableBytes === undefined
            ? undefined
            : Math.max(minHistoryBytes, maxHistoryRatio * this.tableBytes);
    }

    /**
     * The wait of the next call. It is 0 during an outage, because a call that hangs would hide the end of the outage:
     * otherwise a process whose connection was restored read only 1.4 s later that a target had left, and sent it a
     * request 2.09 s after it left.
     */
    private get nextWait(): number {
        const { wait, sharedWatch, role } = this.options;
        if (this.lostAt !== undefined || this.isBehind || this.isPeerStateStale) {
            return 0;
        }
        const leaderWait = role?.() === "leader" ? Math.min(wait, sharedWatch?.wait ?? wait) : wait;
        return Math.min(leaderWait, this.maxConfirmationWait);
    }

    /**
     * The longest wait after which the store's reply still comes within the maximum age of the confirmation. A reply
     * with changes confirms the table as of the sending of its call, which is long ago if the call has waited or the
     * transfer has taken long.
     */
    private get maxConfirmationWait(): number {
        const { maxConfirmationAge = Infinity, clock } = this.options;
        if (this.confirmedAt === undefined || clock.now() < this.recoveryEnd) {
            return Infinity;
        }
        const age = ageOf(this.confirmedAt, clock);
        const wait = maxConfirmationAge - age - confirmationCallTime;
        return age < maxConfirmationAge / 2 ? Math.max(minConfirmationWait, wait) : Math.max(0, wait);
    }

    /**
     * Immediately retries a call that timed out: only its connection may have failed, and any further delay lengthens
     * the time for which stale data is used. A call that was refused or reset quickly is retried after the retry delay.
     */
    private async handleFailure(failure: StoreFailure, asked: number): Promise<void> {
        if (failure.kind === "historyGone" || failure.kind === "historyTooLong") {
            this.version = undefined;
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
        if (backOff > 0 && !this.isBehind) {
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

function latest(known: Moment | undefined, other: Moment): Moment {
    return known === undefined || other.now > known.now ? other : known;
}
