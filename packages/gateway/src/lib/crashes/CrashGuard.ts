import { type Clock, requestCodes } from "@waxwingspar/utils";
import { LRUCache } from "lru-cache";
import { incarnationOf } from "../directory/Target.js";
import { type DirectoryChange } from "../directory/TargetDirectory.js";
import { type Observation } from "../observation/Observation.js";
import { isPart } from "./crashCauses.js";
import { type CrashCounts } from "./CrashCounts.js";
import { type InterruptedRun } from "./CrashDetector.js";
import { type CrashRecord } from "./CrashRecord.js";
import { type CrashRecords } from "./CrashRecords.js";
import { crashSetOf, joinCrashSets, sizeOfCrashSet } from "./CrashSet.js";
import { type PartCrashes } from "./PartCrashes.js";
import { type CrashRefusal, type Retrial, type RetrialVerdict } from "./Retrial.js";
import { type TrialLease } from "./TrialLease.js";
import { type TurnResult, Turns } from "./Turns.js";

/** Options of {@link CrashGuard}. */
export interface CrashGuardOptions {
    readonly clock: Clock;
    /** Crashes by request. */
    readonly counts: CrashCounts;
    readonly parts: PartCrashes;
    readonly records: CrashRecords;
    readonly lease: TrialLease;
    readonly observation: Observation;
    /** Number of gateways that send requests to the same targets. */
    readonly gateways?: () => number;
}

/** Whether a request may be sent, given the crashes of targets that ran it or other requests with its parts. */
export type CrashStatus =
    /** It may be sent. */
    | "free"
    /** It may cause crashes, so it is sent only while no other suspect runs, and only a few times. */
    | "suspect"
    /** It has used up the runs of a suspect and is refused. */
    | "condemned";

/** Number of crashes from which a request is suspect; the guarantee of at most three more runs starts with the third. */
const suspectThreshold = 3;
/**
 * Numbers of crashes from which a part is suspect: at least `least`, and always from `most` on, before the guarantee of
 * at most three more runs starts with the fifth. In between it is compared with the part with the most crashes.
 */
const partThreshold = { least: 3, most: 4 };
/**
 * Share of the crashes of the part with the most from which another one is suspect. One crash interrupts requests with
 * many parts; the parts that were there by accident fall behind the one that is there each time.
 */
const comparedShare = 0.6;
/** Number of crashes in series, seen by this process, from which a part is suspect although many prompts have it. */
const seriesThreshold = 5;
/** Maximum number of gateways whose requests are considered to share a target. */
const maxGroup = 30;
/** Chance from which a crash does not count against a part: that it interrupts a request with the part by accident. */
const uninformativeChance = 0.5;
/** Maximum number of runs without a reply for which a crash is recorded as possibly caused by each of them. */
const maxRecordedRuns = 6;
/**
 * Milliseconds after the start of a reply from which the run counts as successful: a request that crashes targets does
 * so soon after it starts to run.
 */
export const safeReplyAge = 300;
/** Milliseconds after which the outcome of a trial run is known: the first events of most streams arrive sooner. */
const trialTime = 1_000;
/** Milliseconds for which a suspect waits for its turn: callers abandon a stream that is silent for 2 s. */
const turnTimeout = 1_500;
/** Milliseconds after which a caller may retry: after its request got no turn, or while the store was unavailable. */
const turnRetryAfter = 500;
const storeRetryAfter = 1_000;
/** Milliseconds after which a caller may retry when no target was available; crashed targets restart within seconds. */
const noTargetRetryAfter = 1_500;
/**
 * Milliseconds for which a prompt with several suspect parts is held back, so that prompts with one of them tell which
 * one is to blame, and after which its caller may retry.
 */
const sharedHold = 5_000;
const sharedRetryAfter = 1_000;
/** Milliseconds without such a prompt after which the hold begins anew. */
const sharedHoldMemory = 30_000;
const maxHeldParts = 1_000;

/**
 * Limits the number of targets that a request, or requests with a part in common, can crash. A crash interrupts all
 * requests on the target, and the callers of harmless ones retry as well, so crashes alone do not identify the cause:
 * a run without a crash clears the parts of its prompt. A suspect gets a few more runs, during which no gateway runs
 * another suspect. It is excused if one of them succeeds, and refused (condemned) if all of them crash their targets.
 */
export class CrashGuard {
    private readonly turns: Turns;
    /** When prompts with several suspect parts were first held back, by part. */
    private readonly heldSince: LRUCache<string, number>;

    constructor(private readonly options: CrashGuardOptions) {
        const { clock } = options;
        this.turns = new Turns(clock, turnTimeout);
        this.heldSince = new LRUCache({
            max: maxHeldParts,
            ttl: sharedHoldMemory,
            ttlResolution: 0,
            perf: { now: () => clock.now() },
        });
    }

    /** Returns whether a request with some causes may be sent, according to the crashes that this process knows of. */
    getStatus(causes: readonly string[]): CrashStatus {
        const suspects = this.listSuspects(causes);
        if (suspects.length === 0) {
            return "free";
        }
        return suspects.some(cause => this.options.records.isCondemned(cause)) ? "condemned" : "suspect";
    }

    /**
     * Records a crash of a target that interrupted runs of this gateway. Runs whose reply had started long enough ago
     * are left out. If the crash interrupted few runs without a reply, each of them is written to the store; otherwise
     * only causes that were interrupted by a crash before, since nearly all others are not to blame, and each write is a
     * call to the store.
     */
    recordCrash(runs: readonly InterruptedRun[]): void {
        const suspectRuns = runs.filter(({ replyAge }) => replyAge === undefined || replyAge < safeReplyAge);
        const withoutReply = suspectRuns.filter(({ replyAge }) => replyAge === undefined);
        const isRecorded = withoutReply.length <= maxRecordedRuns;
        for (const { digest, request, replyAge } of suspectRuns) {
            this.recordCrashOfRequest(digest, request, isRecorded && replyAge === undefined);
        }
        this.recordCrashOfParts(suspectRuns);
    }

    /**
     * Reads the records of other gateways when a target was removed or restarted without draining, since it may have
     * crashed. While no crash is known at all, targets change for other reasons, and the read is skipped.
     */
    handleTargetChange({ kind, target }: DirectoryChange): void {
        const { counts, parts, records } = this.options;
        const isLost = kind === "restarted" || (kind === "removed" && target.state === "ready");
        if (isLost && !(counts.isEmpty && parts.isEmpty)) {
            records.refresh();
        }
    }

    /** Records that a request with some causes ran without a crash. */
    recordSuccess(causes: readonly string[]): void {
        const { clock, counts, parts, records } = this.options;
        for (const cause of causes) {
            if (isPart(cause)) {
                if (this.isSuspect(cause) || (records.get(cause)?.retrials ?? 0) > 0) {
                    this.log(cause, "excused");
                    void records.excusePart(cause);
                }
                records.forgive(cause, clock.now());
                this.heldSince.delete(cause);
            }
            else {
                if (this.isSuspect(cause)) {
                    this.log(cause, "excused");
                    void records.excuse(cause, Math.max(counts.of(cause), records.get(cause)?.crashes ?? 0));
                }
                counts.clear(cause);
            }
        }
        parts.recordRun(causes.filter(isPart));
        this.turns.releaseIf(waiting => this.getStatus(waiting) === "free");
    }

    /** Records the milliseconds since parts were last known to run without a crash at other gateways. */
    recordPeerRuns(ages: Readonly<Record<string, number>>): void {
        const { clock, parts, records } = this.options;
        parts.recordPeerRuns(ages);
        Object.entries(ages).forEach(([part, age]) => records.forgive(part, clock.now() - age));
        this.turns.releaseIf(waiting => this.getStatus(waiting) === "free");
    }

    /**
     * Requests a further run for a suspect.
     *
     * @param canSend - Whether the run could start now; if not, none is used up.
     */
    async requestRetrial(causes: readonly string[], canSend: () => boolean): Promise<Retrial> {
        if (this.mustHold(causes)) {
            return this.refuse("parts of the prompt crash targets, and are tried one by one", sharedRetryAfter);
        }
        const { timeToNextRun, grantAge } = this.describeGrants(causes);
        if (timeToNextRun > 0 && grantAge >= trialTime) {
            const isKnown = Number.isFinite(timeToNextRun);
            return this.refuse("targets crashed in the last trial", isKnown ? timeToNextRun : turnRetryAfter, isKnown);
        }
        const turn = await this.turns.take(causes);
        if (turn !== "taken") {
            return this.withoutTurn(turn);
        }
        const suspects = this.listSuspects(causes);
        if (suspects.length === 0) {
            this.endTurn();
            return { kind: "free" };
        }
        if (!canSend()) {
            this.endTurn();
            return this.refuse("targets crashed, and no other target is available", noTargetRetryAfter);
        }
        const lease = await this.options.lease.acquire();
        if (lease === "busy") {
            this.endTurn();
            return this.withoutTurn("timeout");
        }
        const verdict = lease === "held" ? await this.grantAll(this.listSuspects(causes)) : "unavailable";
        if (verdict === "granted") {
            return { kind: "granted" };
        }
        this.endTurn();
        if (verdict === "tooSoon") {
            return this.withoutTurn(await this.turns.waitForRelease(causes));
        }
        if (verdict === "excused") {
            return { kind: "free" };
        }
        return verdict === "condemned"
            ? { kind: "refused", refusal: this.describeCondemned(causes) }
            : this.refuse("the store that counts the runs of a suspect is unavailable", storeRetryAfter);
    }

    /** The refusal of a condemned request. */
    describeCondemned(causes: readonly string[]): CrashRefusal {
        const { records } = this.options;
        const suspects = this.listSuspects(causes);
        suspects.forEach(cause => records.noteRefused(cause));
        return suspects.some(isPart)
            ? {
                code: requestCodes.promptCrashesTargets,
                reason: "targets crashed with a part of the prompt",
                retryAfter: undefined,
            }
            : { code: requestCodes.crashesTargets, reason: "every target that ran it crashed", retryAfter: undefined };
    }

    /** Returns a granted run that did not begin, since no target was reached. */
    giveBack(causes: readonly string[]): void {
        this.listSuspects(causes).forEach(cause => void this.options.records.giveBack(cause));
    }

    /** Ends the turn of a suspect, after its run has ended or counts as successful. */
    endTurn(): void {
        this.options.lease.release();
        this.turns.end();
    }

    private withoutTurn(result: Exclude<TurnResult, "taken">): Retrial {
        return result === "released"
            ? { kind: "free" }
            : this.refuse("targets crashed, and other such requests run first", turnRetryAfter);
    }

    private refuse(reason: string, retryAfter: number, isBinding = false): Retrial {
        return { kind: "refused", refusal: { code: requestCodes.crashesTargets, reason, retryAfter, isBinding } };
    }

    /** Whether a prompt has several suspect parts, and prompts with one of them only may still tell them apart. */
    private mustHold(causes: readonly string[]): boolean {
        const parts = this.listSuspects(causes).filter(isPart);
        if (parts.length < 2) {
            return false;
        }
        const now = this.options.clock.now();
        const held = parts.map(part => this.heldSince.get(part) ?? now);
        parts.forEach((part, index) => this.heldSince.set(part, held[index] ?? now));
        return now - Math.max(...held) < sharedHold;
    }

    /** Describes the last granted runs of suspect causes: until when no further one is granted, and how old they are. */
    private describeGrants(causes: readonly string[]) {
        const { records } = this.options;
        const suspects = this.listSuspects(causes);
        return {
            timeToNextRun: Math.max(0, ...suspects.map(cause => records.timeToNextRun(cause))),
            grantAge: Math.min(Infinity, ...suspects.map(cause => records.grantAge(cause))),
        };
    }

    /** Requests a run for each suspect cause of a request. */
    private async grantAll(suspects: readonly string[]): Promise<RetrialVerdict> {
        const isShared = suspects.filter(isPart).length > 1;
        const ordered = [...suspects.filter(isPart), ...suspects.filter(cause => !isPart(cause))];
        let result: RetrialVerdict = "excused";
        for (const cause of ordered) {
            const verdict = await this.options.records.grant(cause, {
                isSuspect: record => this.isSuspect(cause, record),
                isShared,
            });
            this.log(cause, verdict);
            if (verdict !== "granted" && verdict !== "excused") {
                return verdict;
            }
            result = verdict === "granted" ? verdict : result;
        }
        return result;
    }

    private recordCrashOfRequest(digest: string, request: string | undefined, isRecorded: boolean): void {
        const { counts, records, observation } = this.options;
        const wasSuspect = this.isSuspect(digest);
        const isRepeated = counts.hasSeen(digest);
        counts.add(digest);
        if (isRepeated || isRecorded) {
            void records.addCrash(digest);
        }
        if (!wasSuspect && this.isSuspect(digest)) {
            const { seen, told } = counts.parts(digest);
            observation.logs.requests.warn(
                { request, digest, crashes: this.crashesOf(digest), seen, told },
                "request is suspect",
            );
        }
    }

    /**
     * Records a crash for the parts of the prompts that it interrupted. It does not count against a part that is in so
     * many prompts that it was probably interrupted by accident, at this gateway or another one.
     */
    private recordCrashOfParts(runs: readonly InterruptedRun[]): void {
        const { parts, records, observation, gateways = () => 1 } = this.options;
        const targets = runs.map(({ target }) => crashSetOf(incarnationOf(target))).reduce(joinCrashSets, 0);
        const affectedRuns = runs.length * Math.min(maxGroup, Math.max(1, gateways()));
        const requests = new Map(
            runs.flatMap(({ causes, request }) => causes.filter(isPart).map(part => [part, request] as const)),
        );
        const silent = new Set(runs.flatMap(({ causes, replyAge }) => replyAge === undefined ? causes : []));
        for (const [part, request] of requests) {
            const wasSuspect = this.isSuspect(part);
            parts.addToSeries(part);
            if (1 - (1 - parts.shareOf(part)) ** affectedRuns < uninformativeChance) {
                const isRepeated = parts.targetsOf(part) !== 0;
                parts.add(part, targets, silent.has(part));
                if (isRepeated) {
                    void records.addTargets(part, parts.seenTargetsOf(part));
                }
            }
            if (!wasSuspect && this.isSuspect(part)) {
                const crashes = this.crashesOf(part);
                observation.logs.requests.warn(
                    { request, part, crashes, runAge: this.runAge(part) },
                    "part is suspect",
                );
            }
        }
    }

    private listSuspects(causes: readonly string[]): string[] {
        return causes.filter(cause => this.isSuspect(cause));
    }

    /** A cause that was granted a run and not excused stays suspect, even if its crashes are no longer known here. */
    private isSuspect(cause: string, record = this.options.records.get(cause)): boolean {
        if (this.options.records.countsSinceLastRun(cause, record).retrials > 0) {
            return true;
        }
        const crashes = this.crashesOf(cause, record);
        return isPart(cause)
            ? crashes >= this.partThreshold || this.options.parts.seriesOf(cause) >= seriesThreshold
            : crashes >= suspectThreshold;
    }

    private get partThreshold(): number {
        const { least, most } = partThreshold;
        return Math.max(least, Math.min(most, Math.ceil(this.options.parts.highestCount * comparedShare)));
    }

    /** Heartbeats spread counts within a second; records in the store survive restarts and do not depend on peers. */
    private crashesOf(cause: string, record = this.options.records.get(cause)): number {
        const { counts, parts, records } = this.options;
        const { crashes, targets } = records.countsSinceLastRun(cause, record);
        return isPart(cause)
            ? sizeOfCrashSet(joinCrashSets(parts.targetsOf(cause), targets))
            : Math.max(counts.of(cause) - (record?.excused ?? 0), crashes);
    }

    /** Milliseconds since the last known run with a part; undefined if none is known. */
    private runAge(part: string): number | undefined {
        const ranAt = this.options.parts.lastRunAt(part);
        return ranAt === undefined ? undefined : Math.round(this.options.clock.now() - ranAt);
    }

    private log(cause: string, verdict: string): void {
        const { clock, counts, records, observation } = this.options;
        const record: CrashRecord | undefined = records.get(cause);
        const { seen, told } = counts.parts(cause);
        observation.metrics.retrials.add({ result: verdict });
        observation.logs.requests.warn({
            ...isPart(cause) ? { part: cause, runAge: this.runAge(cause) } : { digest: cause, seen, told },
            crashes: this.crashesOf(cause),
            retrials: record?.retrials,
            excused: record?.excused,
            recordAge: record === undefined ? undefined : clock.date().getTime() - record.writtenAt,
            verdict,
        }, isPart(cause) ? "suspect part judged" : "suspect request judged");
    }
}
