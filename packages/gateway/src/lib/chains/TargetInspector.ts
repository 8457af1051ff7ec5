import { type Clock } from "@waxwingspar/utils";
import { addressOf } from "../directory/Target.js";
import { type TargetDirectory } from "../directory/TargetDirectory.js";
import { allMechanisms, type MechanismSwitch } from "../Mechanisms.js";
import { type LoopDelay } from "../observation/LoopDelay.js";
import { type Observation } from "../observation/Observation.js";
import { type EngineControl, type EngineReport } from "./EngineControl.js";
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
    readonly isOn?: MechanismSwitch;
    readonly observation: Observation;
}

/** Milliseconds that a report may take. */
const reportTimeout = 300;
/**
 * Once so many of the targets that are looked at together have answered, the others are late: the answers show that this
 * process and its links work.
 */
const promptShare = 0.6;
/** Milliseconds that the others get then. Chosen: a report takes 3 to 10 ms (reckoned from
 * the links' delays), and a lost packet takes longer to come again. */
const stragglerDelay = 15;
/**
 * Milliseconds for which this process may have stood still in that time; after more, they get it again. Timers run before what has
 * come meanwhile is read, so it would take its own delay for the target's.
 */
const stragglerStandstill = 5;
/** The same for a whole report: a packet that was lost comes again within what is left of its time. */
const reportStandstill = 100;
/** Milliseconds before the end of an avoidance at which the next look begins, so that it ends in time. */
const reinspectLead = 400;

/** It is looked at again before it gets requests, so there is no need for longer times. */
const silent: Penalty = { reason: "gives no report", duration: 2_000, longest: 2_000 };
const unreachable: Penalty = { reason: "cannot be reached", duration: 2_000, longest: 2_000 };
/** It answers and still makes others wait: only the requests on it show whether that is over. */
const stalling: Penalty = { reason: "stalls others", duration: 2_000, longest: 16_000 };
const straggling: Penalty = { reason: "is slow to report", duration: reportTimeout, longest: reportTimeout };
const reordered: Penalty = { reason: "changes its layers", duration: 400, longest: 400 };
/** Requests end at a rate of several in that time. */
const full: Penalty = { reason: "is full", duration: 150, longest: 150 };
/**
 * It may have filled up since the report, which is some hundred milliseconds old, or be leaving, which the store may not
 * say while it is away. With both at once, 47 requests were refused in 4 s of a played day. The times are chosen.
 */
const leaving: Penalty = { reason: "refuses, though it has room", duration: 300, longest: 2_400 };
/** Its entry is up to date after that. */
const misplaced: Penalty = { reason: "does not hold its layers", duration: 1_500, longest: 1_500 };
/** The share of its KV cache from which a target that refuses counts as full. */
const fullCache = 0.85;

/** What a look at a target shows. */
type Verdict = "well" | "silent" | "troubled";

/** Finds out by their reports which targets are to blame when requests fail, and has them avoided for a while. */
export class TargetInspector {
    private readonly running = new Map<string, Promise<Verdict>>();
    private readonly penalties: Penalties;
    private isStopped = false;

    constructor(private readonly options: TargetInspectorOptions) {
        this.penalties = new Penalties(options.clock);
    }

    stop(): void {
        this.isStopped = true;
    }

    /** Forgets what a target did before it started again. */
    forget(id: string): void {
        this.penalties.forget(id);
    }

    /**
     * Looks at targets together. Those that have not answered soon after most others are avoided at once, so that
     * requests need not wait for the time limit of a report.
     *
     * @returns The targets that are silent.
     */
    survey(ids: readonly string[]): Promise<string[]> {
        const waiting = new Set(ids);
        const silentIds: string[] = [];
        return new Promise(resolve => {
            let isTimed = false;
            const answered = (id: string, verdict: Verdict) => {
                waiting.delete(id);
                if (verdict === "silent") {
                    silentIds.push(id);
                }
                if (waiting.size === 0) {
                    resolve(silentIds);
                }
                else if (!isTimed && waiting.size <= ids.length * (1 - promptShare)) {
                    isTimed = true;
                    this.waitForStragglers(waiting, () => {
                        waiting.forEach(late => this.avoid(late, "busy", straggling));
                        resolve([...silentIds, ...waiting]);
                    });
                }
            };
            ids.forEach(id => void this.inspect(id).then(verdict => answered(id, verdict)));
        });
    }

    /** Calls back when the others have had their time, and what came in it has been read. */
    private waitForStragglers(waiting: ReadonlySet<string>, onLate: () => void): void {
        const { clock, loop } = this.options;
        const due = clock.now() + stragglerDelay;
        clock.schedule(() => {
            const stoodStill = loop.note(due) > stragglerStandstill;
            if (stoodStill && waiting.size > 0) {
                this.waitForStragglers(waiting, onLate);
                return;
            }
            // The next timer runs after another turn of the loop, in which input is read.
            clock.schedule(onLate, 0);
        }, stragglerDelay);
    }

    private inspect(id: string): Promise<Verdict> {
        return this.look(id, report => this.blameOthers(report));
    }

    /** Looks at a target that has just refused a request; until it has answered, it gets no further ones. */
    inspectRefusing(id: string): void {
        if (this.running.has(id)) {
            return;
        }
        this.options.suspicions.suspect(id, "busy", reportTimeout);
        void this.look(id, report => this.judgeRefusal(id, report));
    }

    /** A target that refused since it no longer holds the layers that it was asked to run. */
    avoidMisplaced(id: string): void {
        this.avoid(id, "busy", misplaced);
    }

    /** A target that no connection can be opened to. */
    avoidUnreachable(id: string): void {
        this.avoid(id, "lost", unreachable);
    }

    private look(id: string, judge: (report: EngineReport) => Verdict): Promise<Verdict> {
        const running = this.running.get(id);
        if (running !== undefined) {
            return running;
        }
        const look = this.fetchAndJudge(id, judge);
        this.running.set(id, look);
        return look;
    }

    private async fetchAndJudge(id: string, judge: (report: EngineReport) => Verdict): Promise<Verdict> {
        const { clock, directory, engines, loop } = this.options;
        const target = directory.get(id);
        const askedAt = clock.now();
        const report = target === undefined ? undefined : await engines.fetchReport(target, reportTimeout);
        this.running.delete(id);
        if (target === undefined || !directory.confirmsStart(target, report?.startedAt)) {
            return "well";
        }
        if (report === undefined && loop.stoodStillSince(askedAt) > reportStandstill) {
            this.options.observation.logs.chains.warn(
                { target: id, stoodStill: Math.round(loop.stoodStillSince(askedAt)) },
                "missing report does not count",
            );
            return "well";
        }
        if (report === undefined) {
            this.avoid(id, "lost", silent);
            clock.schedule(() => void this.inspectAgain(id), silent.duration - reinspectLead);
            return "silent";
        }
        this.options.paces.observe(id, report.slowdown);
        return judge(report);
    }

    private blameOthers({ stalledBy }: EngineReport): Verdict {
        const culprits = this.options.directory.list().filter(other => stalledBy.includes(addressOf(other)));
        culprits.forEach(culprit => this.avoid(culprit.id, "lost", stalling));
        return culprits.length === 0 ? "well" : "troubled";
    }

    private judgeRefusal(id: string, report: EngineReport): Verdict {
        this.options.suspicions.clear(id);
        if (report.isBusy) {
            this.avoid(id, "busy", reordered);
        }
        else if (report.waiting > 0 || report.cacheUse > fullCache) {
            this.avoid(id, "busy", full);
        }
        else {
            // It may be leaving, or lack room for just this request. Only the list says that its layers must go elsewhere.
            this.avoid(id, "busy", leaving);
        }
        return "troubled";
    }

    /** A target that gave no report stays avoided until it gives one or is no longer listed. */
    private async inspectAgain(id: string): Promise<void> {
        if (!this.isStopped && this.options.directory.get(id) !== undefined) {
            await this.inspect(id);
        }
    }

    private avoid(id: string, kind: SuspicionKind, penalty: Penalty): void {
        const { isOn = allMechanisms } = this.options;
        const duration = isOn("penalties") ? this.penalties.add(id, penalty) : penalty.duration;
        this.options.suspicions.suspect(id, kind, duration);
        this.options.observation.logs.chains.warn(
            { target: id, kind, reason: penalty.reason, duration, loopDelay: Math.round(this.options.loop.recent) },
            "target avoided",
        );
    }
}
