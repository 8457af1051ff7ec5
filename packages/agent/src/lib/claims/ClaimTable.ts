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
    /** Maximum number of stopped claims that are remembered. */
    readonly limit: number;
    /** Maximum bytes of answers that are kept, over all claims. */
    readonly bytes: number;
    /** Milliseconds for which an answer is kept for duplicates. */
    readonly answerRetention: number;
    /** Milliseconds for which a claim is remembered. */
    readonly retention: number;
    /**
     * Milliseconds within which an interrupted request is expected to be resumed. Undefined if requests of this kind
     * cannot be resumed.
     */
    readonly resumeWindow: number | undefined;
}

/** A request under a claim. @internal */
export interface ClaimUse {
    readonly claim: string;
    readonly request: string;
    /** The requested model or service, which must match the claim. */
    readonly route: string;
    readonly organisation: string;
}

/**
 * How to handle a request under a claim: `run` it (for the first time, or to resume it), or `follow` the answer of the
 * request that runs or ran under the same claim.
 *
 * @internal
 */
export interface ClaimDecision<Item, End> {
    readonly action: "run" | "follow";
    readonly record: ClaimRecord<Item, End>;
}

/**
 * Ensures that each claimed request runs at most once in this incarnation of the agent, and answers duplicates from
 * memory. Answers are evicted before claims; a request whose claim or answer may have been evicted gets an unknown
 * outcome and never runs.
 *
 * @internal
 */
export class ClaimTable<Item, End> {
    private readonly records = new Map<string, ClaimRecord<Item, End>>();
    /** Claims that are not running, in the order in which they stopped. */
    private readonly stopped = new Set<ClaimRecord<Item, End>>();
    /** The stopped claims whose answers are kept. */
    private readonly answered = new Set<ClaimRecord<Item, End>>();
    private readonly forgotten = new ForgottenClaims();
    /** For each series, the generation below which claims that have not started here are refused. */
    private readonly blockedBelow = new Map<string, number>();
    private keptBytes = 0;

    constructor(private readonly options: ClaimTableOptions) {}

    get size(): number {
        return this.records.size;
    }

    /** Bytes of finished answers that are kept now. */
    get answerBytes(): number {
        return this.keptBytes;
    }

    /** Decides how to handle a request, and records its claim before anything runs. */
    admit(use: ClaimUse): Result<ClaimDecision<Item, End>, Failure> {
        const refusal = this.checkRunner(use);
        if (refusal !== undefined) {
            return Result.err(refusal);
        }
        this.evictOld();
        const record = this.records.get(use.claim);
        return record === undefined ? this.create(use) : this.decide(record, use);
    }

    /** Returns true if the claim is recorded here or may have been evicted, so that the request may not be new work. */
    knows(claim: string): boolean {
        return this.records.has(claim) || this.forgotten.mayInclude(claim);
    }

    /** Records a refusal, so that a late duplicate of the request never runs here. */
    refuse(use: ClaimUse, reason: Failure): void {
        if (this.checkRunner(use) !== undefined || this.knows(use.claim)) {
            return;
        }
        const record = new ClaimRecord<Item, End>(use.claim, use.request);
        this.records.set(use.claim, record);
        this.refused(record, reason);
    }

    /**
     * Lists the claims of a series below a generation that have started here, and refuses the others from now on: the
     * store may have lost such a claim, so that its request may be assigned to another runner.
     */
    report({ series, before }: ReportRequest): ReportedClaim[] {
        this.blockedBelow.set(series, Math.max(before, this.blockedBelow.get(series) ?? 0));
        // Filtered before decoding, as decoding every remembered claim would delay the tokens of all requests.
        const segment = `/${encodeURIComponent(series)}/`;
        return [...this.records.values()].filter(({ id }) => id.includes(segment)).flatMap(
            (record): ReportedClaim[] => {
                const identity = decodeClaim(record.id);
                if (identity?.series !== series || identity.generation >= before || record.state === "refused") {
                    return [];
                }
                const { keyHash, generation, runner } = identity;
                return [{ keyHash, generation, runner, state: "ran" }];
            },
        );
    }

    /** The highest evicted generation of each series. */
    get forgottenClaims(): [series: string, generation: number][] {
        return this.forgotten.entries();
    }

    /** Lists the outcomes of all remembered claims, newest first. Running and resumable ones count as interrupted. */
    listOutcomes(): { readonly record: ClaimRecord<Item, End>; readonly end: FinalClaim["end"]; }[] {
        const running = [...this.records.values()].filter(record => !this.stopped.has(record));
        const records = [...running, ...[...this.stopped].reverse()];
        return records.map(record => ({ record, end: toOutcome(record.state) }));
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
        this.addStopped(record);
    }

    interrupted(record: ClaimRecord<Item, End>, reason: Failure): void {
        record.stop("interrupted", reason);
        this.addStopped(record);
    }

    refused(record: ClaimRecord<Item, End>, reason: Failure): void {
        record.stop("refused", reason);
        this.addStopped(record);
    }

    private addStopped(record: ClaimRecord<Item, End>): void {
        record.stoppedAt = this.options.clock.now();
        this.stopped.delete(record);
        this.stopped.add(record);
        this.evictOld();
    }

    private create(use: ClaimUse): Result<ClaimDecision<Item, End>, Failure> {
        if (this.forgotten.mayInclude(use.claim)) {
            return Result.err(
                failure(requestCodes.outcomeUnknown, "the claim may have been evicted after its request ran"),
            );
        }
        const record = new ClaimRecord<Item, End>(use.claim, use.request);
        this.records.set(use.claim, record);
        if (this.isBlocked(use.claim)) {
            const reason = failure(
                requestCodes.noCapacity,
                "the claim predates the restored copy of the store and has not started here",
            );
            this.refused(record, reason);
            return Result.err(reason);
        }
        return Result.ok({ action: "run", record });
    }

    private isBlocked(claim: string): boolean {
        const identity = decodeClaim(claim);
        return identity !== undefined && identity.generation < (this.blockedBelow.get(identity.series ?? "") ?? 0);
    }

    private decide(record: ClaimRecord<Item, End>, use: ClaimUse): Result<ClaimDecision<Item, End>, Failure> {
        switch (record.state) {
            case "running":
                return record.truncated
                    ? Result.err(
                        failure(
                            requestCodes.inProgress,
                            "the request is running; its answer is too large to be kept for duplicates",
                        ),
                    )
                    : Result.ok({ action: "follow", record });
            case "ended":
                return Result.ok({ action: "follow", record });
            case "refused":
                return Result.err(record.reason ?? failure(requestCodes.noCapacity, "refused before"));
            case "forgotten":
                return Result.err(
                    failure(requestCodes.outcomeUnknown, "the request ran; its answer is no longer kept"),
                );
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
            return Result.err(
                failure(requestCodes.outcomeUnknown, "the request was interrupted and cannot be resumed"),
            );
        }
        if (use.request === record.request) {
            record.state = "running";
            record.resumed = true;
            this.stopped.delete(record);
            return Result.ok({ action: "run", record });
        }
        const recent = clock.now() - record.stoppedAt < resumeWindow;
        return Result.err(
            recent
                ? failure(requestCodes.inProgress, "the request was interrupted and may be resumed")
                : failure(requestCodes.outcomeUnknown, "the request was interrupted and was not resumed in time"),
        );
    }

    /** Checks that this agent is the runner of the claim. Any other agent cannot know whether the request ran. */
    private checkRunner({ claim, route, organisation }: ClaimUse): Failure | undefined {
        const identity = decodeClaim(claim);
        if (identity === undefined) {
            return failure(requestCodes.malformed, "the claim cannot be decoded");
        }
        if (identity.route !== route || identity.organisation !== organisation) {
            return failure(requestCodes.outcomeUnknown, "the claim does not belong to this request");
        }
        const { target, incarnation } = identity.runner;
        if (target !== this.options.target || incarnation !== this.options.incarnation) {
            return failure(requestCodes.outcomeUnknown, "the claim belongs to another runner or incarnation");
        }
        return undefined;
    }

    /** Evicts answers beyond their retention or total size, and claims beyond their retention or number. */
    private evictOld(): void {
        const now = this.options.clock.now();
        const { answerRetention, bytes, retention, limit } = this.options;
        for (const record of this.answered) {
            if (now - record.stoppedAt <= answerRetention && this.keptBytes <= bytes) {
                break;
            }
            this.evictAnswer(record);
        }
        for (const record of this.stopped) {
            if (now - record.stoppedAt <= retention && this.stopped.size <= limit) {
                break;
            }
            this.evictClaim(record);
        }
    }

    private evictAnswer(record: ClaimRecord<Item, End>): void {
        if (this.answered.delete(record)) {
            this.keptBytes -= record.bytes;
            record.forget();
        }
    }

    private evictClaim(record: ClaimRecord<Item, End>): void {
        this.evictAnswer(record);
        this.stopped.delete(record);
        this.records.delete(record.id);
        this.forgotten.add(record.id);
    }
}

function toOutcome(state: ClaimState): FinalClaim["end"] {
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
