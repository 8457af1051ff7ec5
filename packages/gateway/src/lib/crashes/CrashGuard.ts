import { type Clock } from "@waxwingspar/utils";
import { type DirectoryChange } from "../directory/TargetDirectory.js";
import { type Observation } from "../observation/Observation.js";
import { type CrashCounts } from "./CrashCounts.js";
import { type CrashRecord, type CrashRecords } from "./CrashRecords.js";
import { type CutRun } from "./CrashWatch.js";

/** Options of {@link CrashGuard}. */
export interface CrashGuardOptions {
    readonly clock: Clock;
    readonly counts: CrashCounts;
    readonly records: CrashRecords;
    readonly observation: Observation;
}

/** Whether a request may be sent. */
export type Standing =
    | "free"
    /** So many targets crashed under it that it may run only alone, and a few times. */
    | "suspect"
    /** It has used these runs up. */
    | "condemned";

/** Why a request may not be sent. */
export interface HoldBack {
    readonly reason: string;
    /** Milliseconds after which its caller may come back; undefined when that is of no use. */
    readonly retryAfter: number | undefined;
}

/** Crashes after which a request is suspect. The promise to targets begins with the third. */
const crashesToSuspect = 3;
/** Young runs that a crash cuts off here up to which each may well be its cause. */
const fewRuns = 6;
/** Milliseconds of a reply after which its run has gone well: a request that crashes targets does so soon after it begins to run. */
export const settleTime = 300;
/** Milliseconds for which a suspect waits for its turn: callers abandon a stream that is silent for two seconds. */
const turnPatience = 1_500;
/** Milliseconds after which a caller may come back that had no turn, and one that the store could not judge. */
const turnRetryAfter = 500;
const storeRetryAfter = 1_000;
/** Milliseconds after which a caller may come back that found no target: one that crashed is back after some seconds. */
const noTargetRetryAfter = 1_500;

/**
 * Keeps a request that crashes the targets which run it from crashing more of them. All requests on a target are cut off when
 * it crashes, and their callers come back as well, so crashes alone convict nobody: from the third one on a request gets two more
 * runs, alone among the suspects of this gateway. One that runs well is excused; one that crashes these targets too is refused.
 */
export class CrashGuard {
    private isTurnTaken = false;
    private readonly waiting: (() => void)[] = [];

    constructor(private readonly options: CrashGuardOptions) {}

    /** Whether a request may be sent, as far as is known here. */
    standing(digest: string): Standing {
        const { records } = this.options;
        if (!this.isSuspect(digest, records.get(digest))) {
            return "free";
        }
        return records.isCondemned(digest) ? "condemned" : "suspect";
    }

    /**
     * A target crashed under runs of this gateway. Of a crash that cut few young runs off each is written down; of one that cut
     * many, those that were cut like that before: nearly all of the others had no part in it, and each write is a call to the store.
     */
    noteCrash(runs: readonly CutRun[]): void {
        const { counts, records, observation } = this.options;
        const young = runs.filter(({ replyAge }) => replyAge === undefined || replyAge < settleTime);
        const silent = young.filter(({ replyAge }) => replyAge === undefined);
        for (const { digest, request, replyAge } of young) {
            const wasFree = this.standing(digest) === "free";
            const isRepeated = counts.hasSeen(digest);
            counts.add(digest);
            if (isRepeated || (replyAge === undefined && silent.length <= fewRuns)) {
                void records.addCrash(digest);
            }
            if (wasFree && this.standing(digest) !== "free") {
                const { seen, told } = counts.parts(digest);
                observation.logs.requests.warn(
                    { request, digest, crashes: this.crashesOf(digest), seen, told },
                    "request is suspect",
                );
            }
        }
    }

    /**
     * A target that is gone or has started again without having left may have crashed, and other gateways may know under what. Where
     * no crash was heard of at all, targets come and go for other reasons, and reading is not worth its calls.
     */
    noteTarget({ kind, target }: DirectoryChange): void {
        const { counts, records } = this.options;
        const isLost = kind === "restarted" || (kind === "removed" && target.state === "ready");
        if (isLost && !counts.isEmpty) {
            records.refresh();
        }
    }

    /** The request ran well. */
    noteWell(digest: string): void {
        const { counts, records } = this.options;
        if (this.standing(digest) !== "free") {
            this.log(digest, "excused");
            void records.excuse(digest, this.crashesOf(digest));
        }
        counts.clear(digest);
    }

    /**
     * Asks for a run of a suspect. One that gets it must give its turn back with {@link CrashGuard.endTurn}.
     *
     * @param canSend - Whether the run could begin now; else none is used up.
     * @returns Why it may not run, or undefined when it may.
     */
    async requestRetrial(digest: string, canSend: () => boolean): Promise<HoldBack | undefined> {
        if (!await this.takeTurn()) {
            return { reason: "targets crashed under it, and others are tried before it", retryAfter: turnRetryAfter };
        }
        if (!canSend()) {
            this.endTurn();
            return { reason: "targets crashed under it, and none is left to try it", retryAfter: noTargetRetryAfter };
        }
        const verdict = await this.options.records.grant(digest, record => this.isSuspect(digest, record));
        this.log(digest, verdict);
        if (verdict === "granted" || verdict === "excused") {
            return undefined;
        }
        this.endTurn();
        return verdict === "condemned" ? this.condemned : {
            reason: "targets crashed under it, and the store cannot tell whether it may run",
            retryAfter: storeRetryAfter,
        };
    }

    /** For requests that crashed targets as often as they were tried. */
    get condemned(): HoldBack {
        return { reason: "every target that ran it crashed", retryAfter: undefined };
    }

    /** The run of a suspect is over, or goes well. */
    endTurn(): void {
        const next = this.waiting.shift();
        if (next === undefined) {
            this.isTurnTaken = false;
            return;
        }
        next();
    }

    /** @returns False when the turn did not come in time. */
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
            }, turnPatience);
            this.waiting.push(take);
        });
    }

    /** One that was granted a run and not excused stays suspect, also where its crashes are forgotten. */
    private isSuspect(digest: string, record: CrashRecord | undefined): boolean {
        if (record !== undefined && record.retrials > 0) {
            return true;
        }
        return this.crashesOf(digest, record) - (record?.excused ?? 0) >= crashesToSuspect;
    }

    /** What gateways tell each other comes within a second; what the store holds outlasts them, and needs no peer. */
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
