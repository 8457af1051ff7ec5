import {
    decodeClaim,
    type FinalClaim,
    ForgottenClaims,
    type ReportedClaim,
    type ReportRequest,
} from "@waxwingspar/claims";
import { type Clock, type Failure, failure, requestCodes } from "@waxwingspar/utils";
import { Result } from "true-myth";
import { ClaimRecord, type ClaimState } from "./ClaimRecord.js";

/** @internal */
export interface ClaimTableOptions {
    readonly target: string;
    readonly incarnation: string;
    readonly clock: Clock;
    /** Claims that are remembered at most, besides those that run. */
    readonly limit: number;
    /** Bytes of answers that are kept at most, over all claims. */
    readonly bytes: number;
    /** Milliseconds for which an answer is kept for duplicates. */
    readonly answerRetention: number;
    /** Milliseconds for which a claim is remembered. */
    readonly retention: number;
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
 * Runs every claimed request at most once in this incarnation of the agent, and answers duplicates from memory. What it
 * has forgotten, answers first and then claims, it treats as unknown and never runs.
 *
 * @internal
 */
export class ClaimTable<Item, End> {
    private readonly records = new Map<string, ClaimRecord<Item, End>>();
    /** Claims that do not run, in the order in which they stopped. */
    private readonly settled = new Set<ClaimRecord<Item, End>>();
    /** The part of them whose answers are kept. */
    private readonly answered = new Set<ClaimRecord<Item, End>>();
    private readonly forgotten = new ForgottenClaims();
    /** For each series the generation below which a claim is refused that has not begun here. */
    private readonly barred = new Map<string, number>();
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

    /** True when this agent may have run the claim before, so that the request is not new work. */
    knows(claim: string): boolean {
        return this.records.has(claim) || this.forgotten.mayInclude(claim);
    }

    /** Remembers a refusal, so that a late copy of the request never runs here. */
    refuse(use: ClaimUse, reason: Failure): void {
        if (this.checkRunner(use) !== undefined || this.knows(use.claim)) {
            return;
        }
        const record = new ClaimRecord<Item, End>(use.claim, use.request);
        this.records.set(use.claim, record);
        this.refused(record, reason);
    }

    /**
     * Lists the claims of a series below a generation that have begun here. From now on no other of them does: the store may have lost
     * it, so that another runner may be given the request.
     */
    report({ series, before }: ReportRequest): ReportedClaim[] {
        this.barred.set(series, Math.max(before, this.barred.get(series) ?? 0));
        // Decoding every claim that is remembered would hold up the tokens of all requests.
        const mark = `/${encodeURIComponent(series)}/`;
        return [...this.records.values()].filter(({ id }) => id.includes(mark)).flatMap((record): ReportedClaim[] => {
            const identity = decodeClaim(record.id);
            if (identity?.series !== series || identity.generation >= before || record.state === "refused") {
                return [];
            }
            const { keyHash, generation, runner } = identity;
            return [{ keyHash, generation, runner, state: "ran" }];
        });
    }

    /** The highest forgotten generation of each series. */
    get forgottenClaims(): [series: string, generation: number][] {
        return this.forgotten.entries();
    }

    /** Every remembered claim, the newest first. One that still runs, or may go on, counts as interrupted. */
    listEnds(): { readonly record: ClaimRecord<Item, End>; readonly end: FinalClaim["end"]; }[] {
        const running = [...this.records.values()].filter(record => !this.settled.has(record));
        const records = [...running, ...[...this.settled].reverse()];
        return records.map(record => ({ record, end: endOf(record.state) }));
    }

    ended(record: ClaimRecord<Item, End>, end: End): void {
        record.end(end);
        if (record.truncated) {
            record.forget();
        }
        else {
            this.answered.add(record);
            this.keptBytes += record.bytes;
        }
        this.settle(record);
    }

    interrupted(record: ClaimRecord<Item, End>, reason: Failure): void {
        record.stop("interrupted", reason);
        this.settle(record);
    }

    refused(record: ClaimRecord<Item, End>, reason: Failure): void {
        record.stop("refused", reason);
        this.settle(record);
    }

    private settle(record: ClaimRecord<Item, End>): void {
        record.changedAt = this.options.clock.now();
        this.settled.delete(record);
        this.settled.add(record);
        this.forgetOld();
    }

    private create(use: ClaimUse): Result<ClaimDecision<Item, End>, Failure> {
        if (this.forgotten.mayInclude(use.claim)) {
            return Result.err(failure(requestCodes.outcomeUnknown, "the agent may have forgotten that it ran"));
        }
        const record = new ClaimRecord<Item, End>(use.claim, use.request);
        this.records.set(use.claim, record);
        if (this.isBarred(use.claim)) {
            const reason = failure(
                requestCodes.noCapacity,
                "the claim is older than the copy that the store came back from",
            );
            this.refused(record, reason);
            return Result.err(reason);
        }
        return Result.ok({ action: "run", record });
    }

    private isBarred(claim: string): boolean {
        const identity = decodeClaim(claim);
        return identity !== undefined && identity.generation < (this.barred.get(identity.series ?? "") ?? 0);
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
            this.settled.delete(record);
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

    /** Drops answers that are too old or too large together, and claims that are too old or too many. */
    private forgetOld(): void {
        const now = this.options.clock.now();
        const { answerRetention, bytes, retention, limit } = this.options;
        for (const record of this.answered) {
            if (now - record.changedAt <= answerRetention && this.keptBytes <= bytes) {
                break;
            }
            this.dropAnswer(record);
        }
        for (const record of this.settled) {
            if (now - record.changedAt <= retention && this.settled.size <= limit) {
                break;
            }
            this.dropClaim(record);
        }
    }

    private dropAnswer(record: ClaimRecord<Item, End>): void {
        if (this.answered.delete(record)) {
            this.keptBytes -= record.bytes;
            record.forget();
        }
    }

    private dropClaim(record: ClaimRecord<Item, End>): void {
        this.dropAnswer(record);
        this.settled.delete(record);
        this.records.delete(record.id);
        this.forgotten.add(record.id);
    }
}

function endOf(state: ClaimState): FinalClaim["end"] {
    switch (state) {
        case "ended":
        case "forgotten":
            return "ran";
        case "refused":
            return "refused";
        default:
            return "interrupted";
    }
}
