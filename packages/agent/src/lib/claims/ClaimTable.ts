import { decodeClaim } from "@waxwingspar/claims";
import { type Clock, type Failure, failure, requestCodes } from "@waxwingspar/utils";
import { Result } from "true-myth";
import { ClaimRecord } from "./ClaimRecord.js";

/** @internal */
export interface ClaimTableOptions {
    readonly target: string;
    readonly incarnation: string;
    readonly clock: Clock;
    /** Claims that are remembered at most. Beyond it, new ones are refused as not run. */
    readonly limit: number;
    /** Bytes of answers that are kept at most, over all claims. */
    readonly bytes: number;
    /** Milliseconds for which an answer is kept for duplicates. */
    readonly answerRetention: number;
    /** Milliseconds for which a claim is remembered: no less than the store keeps it. */
    readonly retention: () => number;
    /**
     * Milliseconds for which an interrupted request is expected to be continued. Undefined when that never happens,
     * since what was begun cannot be taken up again.
     */
    readonly resumeWindow: number | undefined;
}

/** Who asks under a claim. @internal */
export interface ClaimUse {
    readonly claim: string;
    readonly request: string;
    /** The model or service, which must be that of the claim. */
    readonly route: string;
    readonly organisation: string;
}

/**
 * What to do with a request under a claim: `run` it (for the first time, or to continue it), or `follow` the answer of
 * the one that runs or ran.
 *
 * @internal
 */
export interface ClaimDecision<Item, End> {
    readonly action: "run" | "follow";
    readonly record: ClaimRecord<Item, End>;
}

/**
 * Runs every claimed request at most once in this incarnation of the agent, and answers duplicates from memory. A claim
 * is remembered for as long as the store keeps it, its answer for less: with the claim would go the proof that the
 * request has run.
 *
 * @internal
 */
export class ClaimTable<Item, End> {
    private readonly records = new Map<string, ClaimRecord<Item, End>>();
    /** Claims whose answers are kept, in the order in which they ended. */
    private readonly answered = new Set<ClaimRecord<Item, End>>();
    private keptBytes = 0;

    constructor(private readonly options: ClaimTableOptions) {}

    get size(): number {
        return this.records.size;
    }

    /** Bytes of finished answers that are kept now. */
    get answerBytes(): number {
        return this.keptBytes;
    }

    /** Decides about a request, and records the claim before anything runs. */
    admit(use: ClaimUse): Result<ClaimDecision<Item, End>, Failure> {
        const refusal = this.checkRunner(use);
        if (refusal !== undefined) {
            return Result.err(refusal);
        }
        this.forgetOld();
        const record = this.records.get(use.claim);
        return record === undefined ? this.create(use) : this.decide(record, use);
    }

    /** True when this agent already answers for the claim, so that the request is not new work. */
    knows(claim: string): boolean {
        return this.records.has(claim);
    }

    /** Remembers a refusal, so that a late copy of the request never runs here. */
    refuse(use: ClaimUse, reason: Failure): void {
        if (this.checkRunner(use) !== undefined || this.records.has(use.claim)) {
            return;
        }
        const record = new ClaimRecord<Item, End>(use.claim, use.request);
        this.records.set(use.claim, record);
        this.refused(record, reason);
    }

    ended(record: ClaimRecord<Item, End>, end: End): void {
        record.changedAt = this.options.clock.now();
        record.end(end);
        if (record.truncated) {
            record.forget();
            return;
        }
        this.answered.add(record);
        this.keptBytes += record.bytes;
        this.forgetOld();
    }

    interrupted(record: ClaimRecord<Item, End>, reason: Failure): void {
        record.changedAt = this.options.clock.now();
        record.stop("interrupted", reason);
    }

    refused(record: ClaimRecord<Item, End>, reason: Failure): void {
        record.changedAt = this.options.clock.now();
        record.stop("refused", reason);
    }

    private create(use: ClaimUse): Result<ClaimDecision<Item, End>, Failure> {
        if (this.records.size >= this.options.limit) {
            return Result.err(failure(requestCodes.claimUnavailable, "the agent remembers no more claims"));
        }
        const record = new ClaimRecord<Item, End>(use.claim, use.request);
        this.records.set(use.claim, record);
        return Result.ok({ action: "run", record });
    }

    private decide(record: ClaimRecord<Item, End>, use: ClaimUse): Result<ClaimDecision<Item, End>, Failure> {
        switch (record.state) {
            case "running":
                return record.truncated
                    ? Result.err(failure(requestCodes.inProgress, "it runs; its answer is too large to repeat"))
                    : Result.ok({ action: "follow", record });
            case "ended":
                return Result.ok({ action: "follow", record });
            case "refused":
                return Result.err(record.reason ?? failure(requestCodes.noCapacity, "refused before"));
            case "forgotten":
                return Result.err(failure(requestCodes.outcomeUnknown, "it ran; its answer is no longer kept"));
            case "interrupted":
                return this.decideInterrupted(record, use);
        }
    }

    private decideInterrupted(
        record: ClaimRecord<Item, End>,
        use: ClaimUse,
    ): Result<ClaimDecision<Item, End>, Failure> {
        const { resumeWindow, clock } = this.options;
        if (resumeWindow === undefined) {
            return Result.err(failure(requestCodes.outcomeUnknown, "it was broken off"));
        }
        if (use.request === record.request) {
            record.state = "running";
            record.resumed = true;
            return Result.ok({ action: "run", record });
        }
        const recent = clock.now() - record.changedAt < resumeWindow;
        return Result.err(
            recent
                ? failure(requestCodes.inProgress, "it was interrupted and may go on")
                : failure(requestCodes.outcomeUnknown, "it was interrupted and did not go on"),
        );
    }

    /** Only the runner of the claim knows whether it ran. Any other must not say that it did not. */
    private checkRunner({ claim, route, organisation }: ClaimUse): Failure | undefined {
        const identity = decodeClaim(claim);
        if (identity === undefined) {
            return failure(requestCodes.malformed, "the claim cannot be read");
        }
        if (identity.route !== route || identity.organisation !== organisation) {
            return failure(requestCodes.outcomeUnknown, "the claim does not belong to this request");
        }
        const { target, incarnation } = identity.runner;
        if (target !== this.options.target || incarnation !== this.options.incarnation) {
            return failure(requestCodes.outcomeUnknown, "the claim names another runner, whose memory is not here");
        }
        return undefined;
    }

    /** Drops claims that the store no longer keeps either, and answers that are too old or too large together. */
    private forgetOld(): void {
        const now = this.options.clock.now();
        this.dropOldClaims(now - this.options.retention());
        this.dropOldAnswers(now);
    }

    private dropOldClaims(before: number): void {
        for (const record of this.records.values()) {
            if (record.state === "running" || record.changedAt >= before) {
                return;
            }
            this.records.delete(record.id);
            if (this.answered.delete(record)) {
                this.keptBytes -= record.bytes;
            }
        }
    }

    private dropOldAnswers(now: number): void {
        for (const record of this.answered) {
            const fresh = now - record.changedAt <= this.options.answerRetention;
            if (fresh && this.keptBytes <= this.options.bytes) {
                return;
            }
            this.answered.delete(record);
            this.keptBytes -= record.bytes;
            record.forget();
        }
    }
}
