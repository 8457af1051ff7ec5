import { fullJitter, type ObjectStore, type TableStore } from "@waxwingspar/stores";
import {
    type Clock,
    type Failure,
    failure,
    type Outcome,
    platformCodes,
    type Random,
    requestCodes,
    sleep,
    uniqueId,
} from "@waxwingspar/utils";
import { Result } from "true-myth";
import { type Claim, type ClaimRequest, type Claims, type Runner } from "../Claims.js";
import { type ClaimRecovery, type CollectReports, type ReportedClaim } from "../recovery/ClaimReport.js";
import { firstGeneration } from "../recovery/generations.js";
import { Archiver } from "./Archiver.js";
import { Batch } from "./Batch.js";
import { PartitionLog } from "./PartitionLog.js";
import { PendingCall } from "./PendingCall.js";
import { PendingCalls } from "./PendingCalls.js";

/**
 * Options of a {@link ClaimJournal}.
 *
 * @public
 */
export interface ClaimJournalOptions {
    readonly partition: number;
    readonly table: TableStore;
    readonly objects: ObjectStore;
    readonly clock: Clock;
    readonly random: Random;
    /**
     * Takes a write permit and returns the milliseconds to wait before using it. This limits the rate of writes; claims
     * that arrive during the wait share the write.
     */
    readonly pace: () => number;
    /**
     * Collects the claims that other processes and the runners know but the store may have lost. The default collects
     * none, which is correct only if no other process records or runs claims.
     */
    readonly collectReports?: CollectReports;
    /** Runs after each attempt to recover lost claims. */
    readonly onRecovery?: (recovery: ClaimRecovery) => void;
    /** Milliseconds after which a waiting call fails with `claimUnavailable`. */
    readonly callTimeout?: number;
    /** Maximum number of waiting calls; further calls are refused. */
    readonly maxPending?: number;
    /** Maximum number of claims in one segment. */
    readonly maxBatch?: number;
    /** Maximum number of claims of the partition; more are refused. An archived claim takes 8 bytes of memory. */
    readonly maxClaims?: number;
    /** Number of segments at which they are moved to an archive. */
    readonly archiveAfter?: number;
    /** Maximum number of rows requested in one scan. */
    readonly pageSize?: number;
    /** Milliseconds for which new claims are refused after the store refused a write without a `retryAfter`. */
    readonly refusalPause?: number;
}

const defaults = {
    collectReports: () => Promise.resolve(Result.ok<readonly ReportedClaim[], Failure>([])),
    onRecovery: () => undefined,
    callTimeout: 1_000,
    maxPending: 10_000,
    maxBatch: 500,
    maxClaims: 8_000_000,
    archiveAfter: 4_096,
    pageSize: 200,
    refusalPause: 250,
};

/** Maximum number of characters in a target's or an incarnation's name. */
const maxNameLength = 256;

/** Bounds in milliseconds of the back-off after a write with an unknown outcome. */
const retryBounds = { base: 20, cap: 500 };

/**
 * The claims of one partition. The journal appends claims to the partition's chain of segments, many in one write, and
 * answers duplicates from memory. Any number of processes may run a journal of the same partition concurrently: a
 * segment number can be written only once, and only by a process that has read all segments before it.
 *
 * @public
 */
export class ClaimJournal implements Claims {
    private readonly options: Required<ClaimJournalOptions>;
    private readonly log: PartitionLog;
    private readonly archiver: Archiver;
    private readonly pending: PendingCalls;
    /** Batches with an unknown outcome. At most one of them can become the next segment. */
    private undecided: Batch[] = [];
    private isUpToDate = false;
    private draining = false;
    private failures = 0;
    private refusedUntil = -Infinity;

    constructor(options: ClaimJournalOptions) {
        this.options = { ...defaults, ...options };
        const { clock, callTimeout, archiveAfter, objects, table, partition, pace } = this.options;
        this.log = new PartitionLog(this.options);
        this.archiver = new Archiver({ log: this.log, objects, table, partition, clock, pace, archiveAfter });
        this.pending = new PendingCalls(clock, callTimeout);
    }

    /** The name of the partition's generation series. */
    get series(): string {
        return this.log.state.series;
    }

    /** The number of claims in the partition, archived ones included. */
    get size(): number {
        return this.log.state.size;
    }

    /** The number of calls that wait for a write. */
    get waiting(): number {
        return this.pending.size;
    }

    acquire(request: ClaimRequest): Promise<Outcome<Claim>> {
        const call = PendingCall.acquire(request);
        const answer = this.log.isRecovered ? call.answer(this.log.state) : undefined;
        const known = answer ?? this.checkLimits(request);
        return known === undefined ? this.enqueue(call) : Promise.resolve(known);
    }

    move(claim: Claim, request: ClaimRequest): Promise<Outcome<Claim>> {
        const call = PendingCall.move(claim, request);
        if (call === undefined) {
            return Promise.resolve(Result.err(failure(requestCodes.malformed, "the claim belongs to another request")));
        }
        if (hasLongName(request.runner)) {
            return Promise.resolve(nameTooLong());
        }
        // Moves are rare, and this owner may have missed an earlier one, so it reads the newest segments first.
        this.isUpToDate = false;
        return this.enqueue(call);
    }

    /** The recently granted claims that this process knows. */
    report(): readonly ReportedClaim[] {
        return this.log.reports;
    }

    /** Loads the partition, so that the first claim need not wait for it. */
    async load(): Promise<Outcome<void>> {
        if (this.draining || this.isCurrent) {
            return Result.ok<void, never>(undefined);
        }
        this.draining = true;
        const outcome = await this.refresh();
        this.draining = false;
        void this.drain();
        return outcome;
    }

    /** Whether, as far as this owner knows, all segments have been read and the store lacks no acknowledged claim. */
    private get isCurrent(): boolean {
        return this.isUpToDate && this.log.isRecovered;
    }

    private checkLimits({ runner }: ClaimRequest): Outcome<Claim> | undefined {
        if (hasLongName(runner)) {
            return nameTooLong();
        }
        if (this.size < this.options.maxClaims) {
            return undefined;
        }
        this.log.state.forgetExpired();
        return unavailable("the partition holds as many claims as it may", this.options.callTimeout);
    }

    private enqueue(call: PendingCall): Promise<Outcome<Claim>> {
        const { clock, maxPending, callTimeout } = this.options;
        const pause = this.refusedUntil - clock.now();
        if (pause > 0) {
            return Promise.resolve(unavailable("the store refuses writes", pause));
        }
        if (this.pending.size >= maxPending) {
            return Promise.resolve(unavailable("too many calls wait for a write", callTimeout));
        }
        const outcome = this.pending.add(call);
        void this.drain();
        return outcome;
    }

    private async drain(): Promise<void> {
        if (this.draining) {
            return;
        }
        this.draining = true;
        while (this.pending.size > 0) {
            const outcome = await this.step();
            await this.after(outcome);
        }
        this.draining = false;
    }

    /** Answers the waiting calls from memory and archives, then writes one batch for the others. */
    private async step(): Promise<Outcome<void>> {
        if (!this.isCurrent) {
            const refreshed = await this.refresh();
            if (refreshed.isErr) {
                return refreshed;
            }
        }
        await this.readArchives();
        this.pending.answer(this.log.state);
        if (this.pending.size === 0) {
            return Result.ok<void, never>(undefined);
        }
        await this.pauseFor(this.options.pace());
        return this.write();
    }

    /** Reads the archives that may hold the claims of waiting calls. A call whose archive cannot be read fails. */
    private async readArchives(): Promise<void> {
        const { log, pending } = this;
        for (
            let groups = pending.groupByArchive(log.state);
            groups.size > 0;
            groups = pending.groupByArchive(log.state)
        ) {
            for (const { archive, calls } of groups.values()) {
                const outcome = await log.loadArchived(archive, calls.map(({ keyHash }) => keyHash));
                if (outcome.isErr) {
                    this.isUpToDate = false;
                    const refusal = unavailable(outcome.error.message, this.options.refusalPause);
                    calls.forEach(call => pending.end(call, refusal));
                }
            }
        }
    }

    private async write(): Promise<Outcome<void>> {
        const { maxBatch } = this.options;
        const batch = new Batch(uniqueId(), this.log.state, this.log.nextSegment);
        this.pending.fill(batch, maxBatch);
        if (batch.size === 0) {
            return Result.ok<void, never>(undefined);
        }
        this.undecided.push(batch);
        const outcome = await this.log.append(batch.writeId, batch.records);
        if (outcome.isOk) {
            this.decide([batch.writeId]);
            this.pending.answer(this.log.state);
            void this.archiver.run();
        }
        return outcome;
    }

    private async refresh(): Promise<Outcome<void>> {
        const { era } = this.log;
        const outcome = await this.log.refresh();
        if (this.log.era !== era) {
            // Batches sent in an earlier era are not granted: the owner that recovered the partition may not have seen
            // them.
            this.undecided = [];
        }
        if (outcome.isErr) {
            return Result.err(outcome.error);
        }
        this.isUpToDate = true;
        if (outcome.value.length > 0) {
            this.decide(outcome.value);
        }
        if (!this.log.isRecovered) {
            return this.recover();
        }
        const written = await this.appendLost();
        if (written.isOk) {
            this.log.clearLost();
        }
        return written;
    }

    /**
     * Collects the claims that a restored copy of the store lacks and rewrites them before any claim is granted or
     * returned.
     */
    private async recover(): Promise<Outcome<void>> {
        const { collectReports, onRecovery } = this.options;
        const { log: { era, state: { series } } } = this;
        const reports = await collectReports({ series, before: firstGeneration(era) });
        if (reports.isErr) {
            onRecovery({ series, era, reported: 0, refusal: reports.error.message });
            return Result.err(reports.error);
        }
        this.log.addReports(reports.value);
        const written = await this.appendLost();
        const recovered = written.isErr ? written : await this.log.append(uniqueId(), [], { marksRecovered: true });
        if (recovered.isOk) {
            this.log.clearLost();
        }
        const refusal = recovered.isErr ? recovered.error.message : undefined;
        onRecovery({ series, era, reported: reports.value.length, refusal });
        return recovered;
    }

    private async appendLost(): Promise<Outcome<void>> {
        const { maxBatch } = this.options;
        const loaded = await this.log.loadLostFromArchives();
        if (loaded.isErr) {
            return loaded;
        }
        for (let records = this.log.nextLost(maxBatch); records.length > 0;) {
            const outcome = await this.log.append(uniqueId(), records);
            if (outcome.isErr) {
                return outcome;
            }
            records = this.log.nextLost(maxBatch);
        }
        return Result.ok<void, never>(undefined);
    }

    /** Resolves the undecided batches: those that were written are granted, the others can never be written. */
    private decide(writeIds: readonly string[]): void {
        const written = new Set(writeIds);
        this.undecided.filter(({ writeId }) => written.has(writeId)).forEach(batch => batch.grant());
        this.undecided = [];
    }

    private async after(outcome: Outcome<void>): Promise<void> {
        if (outcome.isOk) {
            this.failures = 0;
            return;
        }
        // A write that the local budget held back was never sent.
        this.isUpToDate &&= outcome.error.code === platformCodes.budgetExhausted;
        if (wasRefused(outcome.error)) {
            this.refuseAll(outcome.error);
            return;
        }
        await sleep(this.options.clock, this.retryWait(outcome.error));
    }

    /** The wait that the local budget asks for, otherwise a back-off that increases with each failure. */
    private retryWait({ code, retryAfter }: Failure): number {
        if (code === platformCodes.budgetExhausted) {
            return Math.min(retryBounds.cap, retryAfter ?? retryBounds.cap);
        }
        return fullJitter(this.options.random, retryBounds, this.failures++);
    }

    private refuseAll({ message, retryAfter }: Failure): void {
        const pause = retryAfter ?? this.options.refusalPause;
        this.refusedUntil = this.options.clock.now() + Math.min(pause, this.options.callTimeout);
        this.pending.endAll(unavailable(message, pause));
    }

    private async pauseFor(wait: number): Promise<void> {
        if (wait > 0) {
            await sleep(this.options.clock, wait);
        }
    }
}

function hasLongName({ target, incarnation }: Runner): boolean {
    return Math.max(target.length, incarnation.length) > maxNameLength;
}

function nameTooLong(): Outcome<Claim> {
    return Result.err(
        failure(
            requestCodes.malformed,
            `the runner's target or incarnation is longer than ${maxNameLength} characters`,
        ),
    );
}

/** Whether the store seems to be down or lost claims cannot be recovered, so that waiting calls fail at once. */
function wasRefused({ code }: Failure): boolean {
    return code === platformCodes.storeUnavailable || code === requestCodes.claimUnavailable;
}

function unavailable(message: string, retryAfter: number): Outcome<Claim> {
    const details = { retryAfter: Math.ceil(retryAfter) };
    return Result.err(failure(requestCodes.claimUnavailable, message, details));
}
