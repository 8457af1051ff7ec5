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
import { type CollectReports, type Reclaim, type ReportedClaim } from "../reclaim/ClaimReport.js";
import { firstGeneration } from "../reclaim/generations.js";
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
     * Takes a permit to write and returns the milliseconds to wait before using it. It holds the rate of writes; claims
     * that arrive during the wait share the write.
     */
    readonly pace: () => number;
    /**
     * Asks the processes that may know claims which the store has lost. By default nobody, which is right only where no other
     * process records or runs claims.
     */
    readonly collectReports?: CollectReports;
    /** Runs after each look for lost claims. */
    readonly onReclaim?: (reclaim: Reclaim) => void;
    /** Milliseconds after which a call ends as `claimUnavailable`. */
    readonly callTimeout?: number;
    /** Calls that may wait at the same time. */
    readonly maxPending?: number;
    /** Claims in one segment at most. */
    readonly maxBatch?: number;
    /** Claims known at most; more are refused. An old one takes 8 bytes. */
    readonly maxClaims?: number;
    /** Segments after which they are moved to an archive. */
    readonly archiveAfter?: number;
    /** Rows asked for in one scan. */
    readonly pageSize?: number;
    /** Milliseconds to refuse new claims after the store refused one, unless it names a time itself. */
    readonly refusalPause?: number;
}

const defaults = {
    collectReports: () => Promise.resolve(Result.ok<readonly ReportedClaim[], Failure>([])),
    onReclaim: () => undefined,
    callTimeout: 1_000,
    maxPending: 10_000,
    maxBatch: 500,
    maxClaims: 8_000_000,
    archiveAfter: 4_096,
    pageSize: 200,
    refusalPause: 250,
};

/** Characters of a target's or an incarnation's name that a record may hold. */
const maxNameLength = 256;

/** Bounds of the wait after a failure whose outcome is unknown, in milliseconds. */
const retryBounds = { base: 20, cap: 500 };

/**
 * The claims of one partition. It appends claims to the partition's chain of segments, many in one write, and answers
 * duplicates from memory. Any number of processes may run a journal of the same partition at the same time: a segment
 * number can be written once, and only after all segments before it have been read.
 *
 * @public
 */
export class ClaimJournal implements Claims {
    private readonly options: Required<ClaimJournalOptions>;
    private readonly log: PartitionLog;
    private readonly archiver: Archiver;
    private readonly pending: PendingCalls;
    /** Batches whose outcome is not known yet; at most one of them can become the next segment. */
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

    /** The name under which the partition counts generations. */
    get series(): string {
        return this.log.state.series;
    }

    /** Claims that are known. */
    get size(): number {
        return this.log.state.size;
    }

    /** Calls that wait for a write. */
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
            return Promise.resolve(Result.err(failure(requestCodes.malformed, "the claim is of another request")));
        }
        if (hasLongName(request.runner)) {
            return Promise.resolve(nameTooLong());
        }
        // Moves are rare, and this owner may have missed an earlier one.
        this.isUpToDate = false;
        return this.enqueue(call);
    }

    /** The claims that were granted lately, as far as this process knows. */
    report(): readonly ReportedClaim[] {
        return this.log.reports;
    }

    /** Reads the partition, so that the first claim need not wait for that. */
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

    /** Whether nothing hints that the store holds more than what was read, or less than it acknowledged. */
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
            return Promise.resolve(unavailable("too many claims wait for a write", callTimeout));
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

    /** Brings the waiting calls one write further. */
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

    /** Reads the archives that may hold the claims of waiting calls; a call whose archive cannot be read ends. */
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
            // What was sent in an earlier era is not granted: another owner may not have seen it when it settled the partition.
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

    /** Looks for the claims that a copy of the store lacks, and writes them again before anything else is granted or told. */
    private async recover(): Promise<Outcome<void>> {
        const { collectReports, onReclaim } = this.options;
        const { log: { era, state: { series } } } = this;
        const reports = await collectReports({ series, before: firstGeneration(era) });
        if (reports.isErr) {
            onReclaim({ series, era, reported: 0, refusal: reports.error.message });
            return Result.err(reports.error);
        }
        this.log.addReports(reports.value);
        const written = await this.appendLost();
        const recovered = written.isErr ? written : await this.log.append(uniqueId(), [], { marksRecovered: true });
        if (recovered.isOk) {
            this.log.clearLost();
        }
        const refusal = recovered.isErr ? recovered.error.message : undefined;
        onReclaim({ series, era, reported: reports.value.length, refusal });
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

    /** A segment number has been decided: a batch that was written is granted, the others can never be written. */
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
        // A call that the local budget held back has changed nothing.
        this.isUpToDate &&= outcome.error.code === platformCodes.budgetExhausted;
        if (wasRefused(outcome.error)) {
            this.refuseAll(outcome.error);
            return;
        }
        await sleep(this.options.clock, this.retryWait(outcome.error));
    }

    /** Waits for the local budget as long as it asks for, and otherwise longer with each failure. */
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
    return Result.err(failure(requestCodes.malformed, "the runner's name is too long"));
}

/** Whether the store is down for all that is known, or lost claims cannot be looked for, so that waiting on has no use. */
function wasRefused({ code }: Failure): boolean {
    return code === platformCodes.storeUnavailable || code === requestCodes.claimUnavailable;
}

function unavailable(message: string, retryAfter: number): Outcome<Claim> {
    const details = { retryAfter: Math.ceil(retryAfter) };
    return Result.err(failure(requestCodes.claimUnavailable, message, details));
}
