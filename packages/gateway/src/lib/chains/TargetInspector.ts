import { type Clock } from "@waxwingspar/utils";
import { addressOf } from "../directory/Target.js";
import { type TargetDirectory } from "../directory/TargetDirectory.js";
import { allMechanismsOn, type MechanismSwitch } from "../Mechanisms.js";
import { type LoopDelay } from "../observation/LoopDelay.js";
import { type Observation } from "../observation/Observation.js";
import { type EngineControl, type EngineReport } from "./EngineControl.js";
import { type LearnedRooms } from "./LearnedRooms.js";
import { Penalties, type Penalty } from "./Penalties.js";
import { type TargetPaces } from "./TargetPaces.js";
import { type SuspicionKind, type TargetSuspicions } from "./TargetSuspicions.js";

/** Options of {@link TargetInspector}. */
export interface TargetInspectorOptions {
    readonly clock: Clock;
    readonly directory: TargetDirectory;
    readonly suspicions: TargetSuspicions;
    readonly paces: TargetPaces;
    readonly engines: EngineControl;
    readonly loop: LoopDelay;
    /** Learns which targets are full; without it, they are avoided briefly. */
    readonly rooms?: LearnedRooms;
    readonly isOn?: MechanismSwitch;
    readonly observation: Observation;
}

/** Timeout of a report, in milliseconds. */
const reportTimeout = 300;
/**
 * Share of the surveyed targets that must have answered before the remaining ones count as stragglers: that many
 * answers show that this process and its links work.
 */
const answeredShare = 0.6;
/**
 * Milliseconds that stragglers get to answer. A report takes 3 to 10 ms, and the retransmission of a lost packet takes
 * longer than this delay.
 */
const stragglerDelay = 15;
/**
 * Milliseconds for which the event loop may be blocked during the straggler delay before the delay is started again.
 * Timers run before pending input is read, so the delay of this process would be attributed to the target.
 */
const maxStragglerPause = 5;
/**
 * Milliseconds for which the event loop may be blocked during a report before its absence is ignored. The rest of the
 * report timeout leaves time for the retransmission of a lost packet.
 */
const maxReportPause = 100;
/**
 * Milliseconds before the end of a penalty at which the next inspection starts, so that its result is known in time.
 */
const reinspectLead = 400;

/** The target is inspected again before it gets requests, so a longer penalty is not needed. */
const noReport: Penalty = { reason: "gives no report", duration: 2_000, maxDuration: 2_000 };
const unreachable: Penalty = { reason: "cannot be reached", duration: 2_000, maxDuration: 2_000 };
/** The target answers and still blocks others. Only requests sent to it show whether it has recovered. */
const stalling: Penalty = { reason: "stalls others", duration: 2_000, maxDuration: 16_000 };
const slowReport: Penalty = { reason: "is slow to report", duration: reportTimeout, maxDuration: reportTimeout };
const changingLayers: Penalty = { reason: "changes its layers", duration: 400, maxDuration: 400 };
/** Several requests end on a target within this time, which frees their slots. */
const full: Penalty = { reason: "is full", duration: 150, maxDuration: 150 };
/**
 * The target may have filled up since its report, which is up to some hundred milliseconds old, or it may be draining,
 * which is not listed while the store is unavailable.
 */
const leaving: Penalty = { reason: "refuses, though it has room", duration: 300, maxDuration: 2_400 };
/** By the end of this penalty the entry of the target is up to date. */
const wrongLayers: Penalty = { reason: "does not hold its layers", duration: 1_500, maxDuration: 1_500 };
/** Share of the KV cache in use above which a target that refuses a request counts as full. */
const fullCacheThreshold = 0.85;

/** Result of an inspection; "degraded" means that the target refuses requests or is stalled by others. */
type InspectionResult = "healthy" | "silent" | "degraded";

/** Identifies faulty targets by their reports when requests fail, and marks them as suspected for a while. */
export class TargetInspector {
    private readonly running = new Map<string, Promise<InspectionResult>>();
    private readonly penalties: Penalties;
    private isStopped = false;

    constructor(private readonly options: TargetInspectorOptions) {
        this.penalties = new Penalties(options.clock);
    }

    stop(): void {
        this.isStopped = true;
    }

    /** Discards the penalties of a target, because it has restarted. */
    forget(id: string): void {
        this.penalties.forget(id);
        this.options.rooms?.forget(id);
    }

    /**
     * Inspects several targets in parallel. Targets that have not answered soon after most others are avoided
     * immediately, so that requests need not wait for the timeout of a report.
     *
     * @returns The ids of targets that gave no report.
     */
    survey(ids: readonly string[]): Promise<string[]> {
        const waiting = new Set(ids);
        const silentIds: string[] = [];
        return new Promise(resolve => {
            let hasStragglerTimer = false;
            const answered = (id: string, verdict: InspectionResult) => {
                waiting.delete(id);
                if (verdict === "silent") {
                    silentIds.push(id);
                }
                if (waiting.size === 0) {
                    resolve(silentIds);
                }
                else if (!hasStragglerTimer && waiting.size <= ids.length * (1 - answeredShare)) {
                    hasStragglerTimer = true;
                    this.waitForStragglers(waiting, () => {
                        waiting.forEach(late => this.avoid(late, "busy", slowReport));
                        resolve([...silentIds, ...waiting]);
                    });
                }
            };
            ids.forEach(id => void this.inspect(id).then(verdict => answered(id, verdict)));
        });
    }

    /** Calls back after the straggler delay, once the input that arrived during it has been read. */
    private waitForStragglers(waiting: ReadonlySet<string>, onLate: () => void): void {
        const { clock, loop } = this.options;
        const due = clock.now() + stragglerDelay;
        clock.schedule(() => {
            const stoodStill = loop.record(due) > maxStragglerPause;
            if (stoodStill && waiting.size > 0) {
                this.waitForStragglers(waiting, onLate);
                return;
            }
            // A zero delay lets the event loop read pending input before the timer runs.
            clock.schedule(onLate, 0);
        }, stragglerDelay);
    }

    private inspect(id: string): Promise<InspectionResult> {
        return this.startInspection(id, report => this.avoidStallingTargets(report));
    }

    /**
     * Inspects a target that has refused a request. A target that was found full a moment ago is not inspected again,
     * since each report is billed.
     *
     * @param isNearlyFull - Whether the target is known to be near its room, so that it gets further requests during
     * the inspection. Any other target gets none until it has answered.
     */
    inspectRefusing(id: string, isNearlyFull = false): void {
        if (this.running.has(id) || this.rooms?.wasLowered(id) === true) {
            return;
        }
        if (!isNearlyFull || this.rooms === undefined) {
            this.options.suspicions.suspect(id, "busy", reportTimeout);
        }
        void this.startInspection(id, report => this.evaluateRefusal(id, report));
    }

    /** Avoids a target that refused a request because it no longer holds the layers it was asked to run. */
    avoidMisplaced(id: string): void {
        this.avoid(id, "busy", wrongLayers);
    }

    /** Avoids a target to which no connection can be opened. */
    avoidUnreachable(id: string): void {
        this.avoid(id, "lost", unreachable);
    }

    private startInspection(
        id: string,
        evaluate: (report: EngineReport) => InspectionResult,
    ): Promise<InspectionResult> {
        const running = this.running.get(id);
        if (running !== undefined) {
            return running;
        }
        const inspection = this.fetchAndEvaluate(id, evaluate);
        this.running.set(id, inspection);
        return inspection;
    }

    private async fetchAndEvaluate(
        id: string,
        evaluate: (report: EngineReport) => InspectionResult,
    ): Promise<InspectionResult> {
        const { clock, directory, engines, loop } = this.options;
        const target = directory.get(id);
        const requestedAt = clock.now();
        const report = target === undefined ? undefined : await engines.fetchReport(target, reportTimeout);
        this.running.delete(id);
        if (target === undefined || !directory.confirmsIncarnation(target, report?.startedAt)) {
            return "healthy";
        }
        if (report === undefined && loop.blockedTimeSince(requestedAt) > maxReportPause) {
            this.options.observation.logs.chains.warn(
                { target: id, stoodStill: Math.round(loop.blockedTimeSince(requestedAt)) },
                "missing report ignored",
            );
            return "healthy";
        }
        if (report === undefined) {
            this.avoid(id, "lost", noReport);
            clock.schedule(() => void this.inspectAgain(id), noReport.duration - reinspectLead);
            return "silent";
        }
        this.options.paces.observe(id, report.slowdown);
        return evaluate(report);
    }

    private avoidStallingTargets({ stalledBy }: EngineReport): InspectionResult {
        const culprits = this.options.directory.list().filter(other => stalledBy.includes(addressOf(other)));
        culprits.forEach(culprit => this.avoid(culprit.id, "lost", stalling));
        return culprits.length === 0 ? "healthy" : "degraded";
    }

    private evaluateRefusal(id: string, report: EngineReport): InspectionResult {
        this.options.suspicions.clear(id);
        if (report.isBusy) {
            this.avoid(id, "busy", changingLayers);
        }
        else if (report.waiting > 0 || report.cacheUse > fullCacheThreshold) {
            this.noteFull(id, report);
        }
        else {
            // The target may be draining, or lack room for this request only. Whether its layers are placed elsewhere
            // depends on its listed state alone.
            this.avoid(id, "busy", leaving);
        }
        return "degraded";
    }

    /**
     * A full target is not faulty: avoiding it moves its chain to slower targets and back, which broke streams and
     * rebuilt chains 1,600 times in 20 s of a measured overload. A target that says that it is leaving is avoided even
     * when it is full.
     */
    private noteFull(id: string, { isLeaving = false }: EngineReport): void {
        if (this.rooms === undefined || isLeaving) {
            this.avoid(id, "busy", full);
            return;
        }
        this.rooms.noteFull(id);
        this.options.observation.logs.chains.info({ target: id, share: this.rooms.share(id) }, "target is full");
    }

    private get rooms(): LearnedRooms | undefined {
        const { isOn = allMechanismsOn, rooms } = this.options;
        return isOn("several-chains") ? rooms : undefined;
    }

    /** Keeps a target that gave no report avoided until it gives one or is no longer listed. */
    private async inspectAgain(id: string): Promise<void> {
        if (!this.isStopped && this.options.directory.get(id) !== undefined) {
            await this.inspect(id);
        }
    }

    private avoid(id: string, kind: SuspicionKind, penalty: Penalty): void {
        const { isOn = allMechanismsOn } = this.options;
        const duration = isOn("penalties") ? this.penalties.add(id, penalty) : penalty.duration;
        this.options.suspicions.suspect(id, kind, duration);
        this.options.observation.logs.chains.warn(
            { target: id, kind, reason: penalty.reason, duration, loopDelay: Math.round(this.options.loop.recent) },
            "target avoided",
        );
    }
}
