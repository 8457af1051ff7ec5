import { type Clock } from "@waxwingspar/utils";
import { type Engine } from "../configuration/Configuration.js";
import { addressOf, type Target } from "../directory/Target.js";
import { type TargetDirectory } from "../directory/TargetDirectory.js";
import { type Observation } from "../observation/Observation.js";
import { type Chain } from "./Chain.js";
import { type ChainLoad, ChainRouter } from "./ChainRouter.js";
import { type EngineControl, type EngineReport } from "./EngineControl.js";
import { type SuspicionKind, type TargetSuspicions } from "./TargetSuspicions.js";

/** A request on a chain, which can be told to leave it. */
export interface ChainUser {
    leaveChain(reason: string): void;
}

/** Options of {@link ChainService}. */
export interface ChainServiceOptions {
    readonly clock: Clock;
    readonly service: string;
    readonly dataCentre: string;
    readonly engine: Engine;
    readonly directory: TargetDirectory;
    readonly suspicions: TargetSuspicions;
    readonly peerLoad: (headId: string) => number;
    readonly engines: EngineControl;
    readonly observation: Observation;
}

/** Milliseconds between two looks for chains that have stalled. */
const stallCheck = 40;
/** Streams that must have begun on a chain before their silence together says something. */
const stallStreams = 2;
/**
 * Milliseconds without an event of any stream of a chain that mean a stall. A chain of the slowest accelerators makes an
 * event in about 30 ms and callers count a pause over 200 ms as late, of which a new prefill takes about 80.
 */
const stallSilence = 130;
/**
 * The same for a chain between data centres, whose tokens wait behind the prompts of others on a pipe that all share. The
 * figure is chosen: a prompt takes about 20 ms of a pipe, and few are on it at once.
 */
const crossingSilence = 400;
/** A look that comes so late means that this process itself stood still, so silence proves nothing. */
const lateCheck = 90;
/** Milliseconds for which a stalled chain gets no new requests unless a look at its targets finds one at fault. */
const stalledPause = 1_500;
/** Milliseconds that a report may take. */
const reportTimeout = 300;
/** Milliseconds for which a target that gave no report is avoided; then it is looked at again. */
const silentPause = 2_000;
/** Milliseconds before the end of that at which the next look begins, so that it ends in time. */
const reinspectLead = 400;
/** Milliseconds for which a target is avoided that is giving up or loading layers. */
const reorderedPause = 400;
/** Milliseconds for which a target without room is avoided; requests end at a rate of several in that time. */
const fullPause = 150;
/**
 * Milliseconds for which a target is avoided that refuses although it has room: it may be leaving, which the store may
 * not say while it is away. With both at once, 47 requests were refused in 4 s of a played day. The time is chosen.
 */
const leavingPause = 1_500;
/** The share of its KV cache from which a target that refuses counts as full. */
const fullCache = 0.85;
/** Milliseconds for which a target is avoided that no longer holds its layers; its entry is up to date after that. */
const misplacedPause = 1_500;
const misdirected = 421;

/** The chains of one service: choice, stalls, and which target is to blame. */
export class ChainService {
    private readonly router: ChainRouter;
    private readonly users = new Map<ChainLoad, Set<ChainUser>>();
    private readonly inspections = new Set<string>();
    private checkedAt: number;
    private isStopped = false;

    constructor(private readonly options: ChainServiceOptions) {
        this.router = new ChainRouter(options);
        this.checkedAt = options.clock.now();
        this.scheduleCheck();
    }

    /** Chooses a chain that is not among the failed ones. */
    choose(failed: ReadonlySet<string>): ChainLoad | undefined {
        return this.router.choose(this.options.engine, failed);
    }

    /** Requests of this process in flight, by the first target of their chain. */
    headLoads(): [string, number][] {
        return this.router.headLoads();
    }

    target(id: string): Target | undefined {
        return this.options.directory.get(id);
    }

    stop(): void {
        this.isStopped = true;
    }

    /** A request is sent over the chain. */
    begin(load: ChainLoad, user: ChainUser): void {
        load.inFlight++;
        const users = this.users.get(load);
        if (users === undefined) {
            this.users.set(load, new Set([user]));
        }
        else {
            users.add(user);
        }
    }

    firstEvent(load: ChainLoad): void {
        load.streaming++;
    }

    event(load: ChainLoad): void {
        load.lastEventAt = this.options.clock.now();
    }

    /** A request no longer uses the chain. */
    end(load: ChainLoad, user: ChainUser, hadEvents: boolean): void {
        load.inFlight--;
        load.streaming -= hadEvents ? 1 : 0;
        const users = this.users.get(load);
        users?.delete(user);
        if (users?.size === 0) {
            this.users.delete(load);
        }
    }

    /** A target of the chain refused a request. */
    refused(load: ChainLoad, status: number, address: string | undefined): void {
        const hop = load.chain.hops.find(hop => hop.address === address) ?? load.chain.hops[0];
        if (hop === undefined) {
            return;
        }
        if (status === misdirected) {
            this.avoid(hop.targetId, "busy", misplacedPause, "does not hold its layers");
            return;
        }
        void this.inspect(hop.targetId, true);
    }

    /** A stream of the chain broke off. */
    broke(load: ChainLoad, neverSent: boolean): void {
        const head = load.chain.hops[0];
        if (neverSent && head !== undefined) {
            this.avoid(head.targetId, "lost", silentPause, "cannot be reached");
            return;
        }
        void this.inspectAll(load);
    }

    private scheduleCheck(): void {
        this.options.clock.schedule(() => {
            if (!this.isStopped) {
                this.checkStalls();
                this.scheduleCheck();
            }
        }, stallCheck);
    }

    private checkStalls(): void {
        const now = this.options.clock.now();
        const stoodStill = now - this.checkedAt > lateCheck;
        this.checkedAt = now;
        for (const [load, users] of this.users) {
            if (stoodStill || load.streaming === 0) {
                load.lastEventAt = now;
                continue;
            }
            if (load.streaming >= stallStreams && now - load.lastEventAt > silenceLimit(load.chain)) {
                this.leaveStalled(load, users, now);
            }
        }
    }

    private leaveStalled(load: ChainLoad, users: Set<ChainUser>, now: number): void {
        load.avoidedUntil = now + stalledPause;
        const silence = Math.round(now - load.lastEventAt);
        load.lastEventAt = now;
        this.options.observation.logs.chains.warn({
            chain: load.chain.dataCentre,
            silence,
            streams: load.streaming,
            requests: load.inFlight,
        }, "chain stalled");
        void this.inspectAll(load);
        [...users].forEach(user => user.leaveChain("chain stalled"));
    }

    private async inspectAll(load: ChainLoad): Promise<void> {
        const results = await Promise.all(load.chain.hops.map(({ targetId }) => this.inspect(targetId)));
        if (results.every(isWell => isWell)) {
            this.options.observation.logs.chains.info({ chain: load.chain.dataCentre }, "all targets answer");
        }
    }

    /**
     * Looks whether a target answers, and whether it has room.
     *
     * @param hasRefused - Whether it has just refused a request.
     * @returns True if it seems well, or if another look is under way.
     */
    private async inspect(id: string, hasRefused = false): Promise<boolean> {
        const target = this.options.directory.get(id);
        if (target === undefined || this.inspections.has(id)) {
            return true;
        }
        this.inspections.add(id);
        const report = await this.options.engines.fetchReport(target, reportTimeout);
        this.inspections.delete(id);
        if (report === undefined) {
            this.avoid(id, "lost", silentPause, "gives no report");
            this.options.clock.schedule(() => void this.inspectAgain(id), silentPause - reinspectLead);
            return false;
        }
        if (hasRefused) {
            this.judgeRefusal(id, report);
            return false;
        }
        const culprits = this.options.directory.list().filter(other => report.stalledBy.includes(addressOf(other)));
        culprits.forEach(culprit => this.avoid(culprit.id, "lost", silentPause, "stalls others"));
        return culprits.length === 0;
    }

    private judgeRefusal(id: string, report: EngineReport): void {
        if (report.isBusy) {
            this.avoid(id, "busy", reorderedPause, "changes its layers");
        }
        else if (report.waiting > 0 || report.cacheUse > fullCache) {
            this.avoid(id, "busy", fullPause, "is full");
        }
        else {
            // It may be leaving, or lack room for just this request. Only the list says that its layers must go elsewhere.
            this.avoid(id, "busy", leavingPause, "refuses, though it has room");
        }
    }

    /** A target that gave no report stays avoided until it gives one or is no longer listed. */
    private async inspectAgain(id: string): Promise<void> {
        if (!this.isStopped && this.options.directory.get(id) !== undefined) {
            await this.inspect(id);
        }
    }

    private avoid(id: string, kind: SuspicionKind, duration: number, reason: string): void {
        this.options.suspicions.suspect(id, kind, duration);
        this.options.observation.logs.chains.warn({ target: id, kind, reason, duration }, "target avoided");
    }
}

/** Milliseconds without an event of any stream that mean a stall of a chain. */
function silenceLimit({ crossings }: Chain): number {
    return crossings > 0 ? crossingSilence : stallSilence;
}
