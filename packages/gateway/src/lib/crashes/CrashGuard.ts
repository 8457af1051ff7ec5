import { type Clock } from "@waxwingspar/utils";
import { type DirectoryChange } from "../directory/TargetDirectory.js";
import { type Observation } from "../observation/Observation.js";
import { type CrashCounts } from "./CrashCounts.js";
import { type InterruptedRun } from "./CrashDetector.js";
import { type CrashRecord, type CrashRecords } from "./CrashRecords.js";

/** Options of {@link CrashGuard}. */
export interface CrashGuardOptions {
    readonly clock: Clock;
    readonly counts: CrashCounts;
    readonly records: CrashRecords;
    readonly observation: Observation;
}

/** Whether a request may be sent, given the crashes of targets that ran it. */
export type CrashStatus =
    /** It may be sent. */
    | "free"
    /** It may have caused crashes, so it is sent only while no other suspect runs, and only a few times. */
    | "suspect"
    /** It has used up the runs of a suspect and is refused. */
    | "condemned";

/** Why a request may not be sent. */
export interface CrashRefusal {
    readonly reason: string;
    /** Milliseconds after which the caller may retry; undefined when a retry is pointless. */
    readonly retryAfter: number | undefined;
}

/**
 * Number of crashes from which a request is suspect; the guarantee of at most three more runs starts with the third.
 */
const suspectThreshold = 3;
/** Maximum number of runs without a reply for which a crash is recorded as possibly caused by each of them. */
const maxRecordedRuns = 6;
/**
 * Milliseconds after the start of a reply from which the run counts as successful: a request that crashes targets does
 * so soon after it starts to run.
 */
export const safeReplyAge = 300;
/** Milliseconds for which a suspect waits for its turn: callers abandon a stream that is silent for 2 s. */
const turnTimeout = 1_500;
/** Milliseconds after which a caller may retry: after its request got no turn, or while the store was unavailable. */
const turnRetryAfter = 500;
const storeRetryAfter = 1_000;
/** Milliseconds after which a caller may retry when no target was available; crashed targets restart within seconds. */
const noTargetRetryAfter = 1_500;

/**
 * Limits the number of targets that a request can crash. A crash interrupts all requests on the target, and the callers
 * of harmless ones retry as well, so crashes alone do not identify the cause. From its third crash on, a request gets
 * two more runs, during which this gateway runs no other suspect. It is excused if one of them succeeds, and refused
 * (condemned) if both crash their targets.
 */
export class CrashGuard {
    private isTurnTaken = false;
    private readonly waiting: (() => void)[] = [];

    constructor(private readonly options: CrashGuardOptions) {}

    /** Returns whether a request may be sent, according to the crashes that this process knows of. */
    getStatus(digest: string): CrashStatus {
        const { records } = this.options;
        if (!this.isSuspect(digest, records.get(digest))) {
            return "free";
        }
        return records.isCondemned(digest) ? "condemned" : "suspect";
    }

    /**
     * Records a crash of a target that interrupted runs of this gateway. Runs whose reply had started long enough ago
     * are left out. If the crash interrupted few runs without a reply, each of them is written to the store; otherwise
     * only requests that were interrupted by a crash before, since nearly all others are not the cause, and each write
     * is a call to the store.
     */
    recordCrash(runs: readonly InterruptedRun[]): void {
        const { counts, records, observation } = this.options;
        const suspectRuns = runs.filter(({ replyAge }) => replyAge === undefined || replyAge < safeReplyAge);
        const withoutReply = suspectRuns.filter(({ replyAge }) => replyAge === undefined);
        for (const { digest, request, replyAge } of suspectRuns) {
            const wasFree = this.getStatus(digest) === "free";
            const isRepeated = counts.hasSeen(digest);
            counts.add(digest);
            if (isRepeated || (replyAge === undefined && withoutReply.length <= maxRecordedRuns)) {
                void records.addCrash(digest);
            }
            if (wasFree && this.getStatus(digest) !== "free") {
                const { seen, told } = counts.parts(digest);
                observation.logs.requests.warn(
                    { request, digest, crashes: this.crashesOf(digest), seen, told },
                    "request is suspect",
                );
            }
        }
    }

    /**
     * Reads the records of other gateways when a target was removed or restarted without draining, since it may have
     * crashed. While no crash is known at all, targets change for other reasons, and the read is skipped.
     */
    handleTargetChange({ kind, target }: DirectoryChange): void {
        const { counts, records } = this.options;
        const isLost = kind === "restarted" || (kind === "removed" && target.state === "ready");
        if (isLost && !counts.isEmpty) {
            records.refresh();
        }
    }

    /** Records that the request ran without a crash. */
    recordSuccess(digest: string): void {
        const { counts, records } = this.options;
        if (this.getStatus(digest) !== "free") {
            this.log(digest, "excused");
            void records.excuse(digest, this.crashesOf(digest));
        }
        counts.clear(digest);
    }

    /**
     * Requests a further run for a suspect. A granted run must be ended with {@link CrashGuard.endTurn}.
     *
     * @param canSend - Whether the run could start now; if not, none is used up.
     * @returns Why the request may not run; undefined when the run is granted.
     */
    async requestRetrial(digest: string, canSend: () => boolean): Promise<CrashRefusal | undefined> {
        if (!await this.takeTurn()) {
            return {
                reason: "targets crashed while running this request, and other such requests run first",
                retryAfter: turnRetryAfter,
            };
        }
        if (!canSend()) {
            this.endTurn();
            return {
                reason: "targets crashed while running this request, and no other target is available",
                retryAfter: noTargetRetryAfter,
            };
        }
        const verdict = await this.options.records.grant(digest, record => this.isSuspect(digest, record));
        this.log(digest, verdict);
        if (verdict === "granted" || verdict === "excused") {
            return undefined;
        }
        this.endTurn();
        return verdict === "condemned" ? this.condemned : {
            reason: "targets crashed while running this request, and the store that counts its runs is unavailable",
            retryAfter: storeRetryAfter,
        };
    }

    /** The refusal of a condemned request. */
    get condemned(): CrashRefusal {
        return { reason: "every target that ran it crashed", retryAfter: undefined };
    }

    /** Ends the turn of a suspect, after its run has ended or counts as successful. */
    endTurn(): void {
        const next = this.waiting.shift();
        if (next === undefined) {
            this.isTurnTaken = false;
            return;
        }
        next();
    }

    /** Waits until no other suspect runs. @returns False after the timeout. */
    private takeTurn(): Promise<boolean> {
        if (!this.isTurnTaken) {
            this.isTurnTaken = true;
            return Promise.resolve(true);
        }
        return new Promise(resolve => {
            const take = () => {
                timer.cancel();
                resolve(true);
            };
            const timer = this.options.clock.schedule(() => {
                this.waiting.splice(this.waiting.indexOf(take), 1);
                resolve(false);
            }, turnTimeout);
            this.waiting.push(take);
        });
    }

    /** A request that was granted a run and not excused stays suspect, even if its crashes are no longer known here. */
    private isSuspect(digest: string, record: CrashRecord | undefined): boolean {
        if (record !== undefined && record.retrials > 0) {
            return true;
        }
        return this.crashesOf(digest, record) - (record?.excused ?? 0) >= suspectThreshold;
    }

    /** Heartbeats spread counts within a second; records in the store survive restarts and do not depend on peers. */
    private crashesOf(digest: string, record = this.options.records.get(digest)): number {
        return Math.max(this.options.counts.of(digest), record?.crashes ?? 0);
    }

    private log(digest: string, verdict: string): void {
        const { clock, counts, records, observation } = this.options;
        const record = records.get(digest);
        const { seen, told } = counts.parts(digest);
        observation.metrics.retrials.add({ result: verdict });
        observation.logs.requests.warn({
            digest,
            crashes: this.crashesOf(digest),
            seen,
            told,
            retrials: record?.retrials,
            excused: record?.excused,
            recordAge: record === undefined ? undefined : clock.date().getTime() - record.writtenAt,
            verdict,
        }, "suspect request judged");
    }
}
