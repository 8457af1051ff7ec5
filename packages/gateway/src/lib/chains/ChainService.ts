import { type Engine } from "../configuration/Configuration.js";
import { type Target } from "../directory/Target.js";
import { allMechanismsOn, type MechanismSwitch } from "../Mechanisms.js";
import { LoopDelay } from "../observation/LoopDelay.js";
import { type Observation } from "../observation/Observation.js";
import { type Chain } from "./Chain.js";
import { type ChainLoad, ChainRouter, type ChainRouterOptions } from "./ChainRouter.js";
import { type EngineControl } from "./EngineControl.js";
import { LearnedRooms } from "./LearnedRooms.js";
import { logChains } from "./logChains.js";
import { TargetInspector } from "./TargetInspector.js";

/** A request on a chain, which is notified when the chain appears to have failed. */
export interface ChainUser {
    /** Moves the request to another chain, if it can be resumed and another chain is available. */
    leaveChain(load: ChainLoad, reason: string): void;
}

/** Log fields that describe the condition of a chain, in milliseconds. */
export interface ChainDiagnostics {
    /** Time since the last event of any stream on the chain. */
    readonly chainSilence: number;
    /** Recent delay of the timers of this process. */
    readonly loopDelay: number;
}

/** Options of {@link ChainService}. */
export interface ChainServiceOptions extends Omit<ChainRouterOptions, "rooms" | "onChange" | "onFurtherChange"> {
    readonly engine: Engine;
    readonly engines: EngineControl;
    readonly observation: Observation;
}

/**
 * Bounds of the milliseconds between two checks for silent chains. Each check takes CPU time, and more frequent ones
 * detect nothing earlier.
 */
const checkDelayBounds = { min: 8, max: 40 };
/** Number of streams that must have started on a chain before its silence is taken as a sign of a fault. */
const minStallStreams = 2;
/**
 * Silence of a chain after which its targets are surveyed, as a multiple of the mean interval between a stream's
 * events. The streams stay on the chain during the survey. Each survey that finds no fault raises the factor for this
 * chain, since each report is billed.
 */
const surveyFactor = { first: 1.2, step: 0.2, max: 2.2 };
/**
 * Bounds of the silence in milliseconds after which targets are surveyed. The lower one exceeds the jitter of the
 * links; the upper one leaves time to resume the streams within 200 ms.
 */
const surveySilenceBounds = { min: 30, max: 70 };
/**
 * Milliseconds by which each survey without a fault raises the upper bound. A process with few streams on a chain often
 * sees no event for longer.
 */
const falseAlarmSilence = 15;
/** Weight of the newest interval in the moving average. */
const intervalWeight = 0.05;
/**
 * Milliseconds without an event of any stream after which a chain counts as stalled, although all its targets answer. A
 * slow chain is silent for longer than a healthy one, and the prompts of streams that leave it are processed again,
 * which slows other chains.
 */
const stallSilence = 600;
/** The same when the mechanism "stall-patience" is off: a few event intervals of a healthy chain, in milliseconds. */
const shortStallSilence = 130;
/**
 * Milliseconds of silence after which the targets of a chain between data centres are surveyed. Its tokens queue behind
 * the prompts of other requests on the shared link: a prompt takes about 20 ms, and few are on the link at the same
 * time.
 */
const crossingSilence = 400;
/**
 * Milliseconds between two stall checks above which this process itself must have been paused, so that the silence of a
 * chain is no evidence of a fault.
 */
const maxCheckPause = 90;
/** Milliseconds for which a stalled or flooding chain gets no new requests, unless a survey finds a faulty target. */
const stallAvoidanceTime = 1_500;
/** Milliseconds between two surveys of a chain: each report is billed, and recovering a lost range takes longer. */
const surveyInterval = 500;
/**
 * Share of a chain's room in use from which a refusing target is expected to be full. Below it, a refusal is more likely
 * a sign that the target is draining, so it gets no requests until it has answered.
 */
const nearlyFullShare = 0.7;
/** HTTP status of a target that does not hold the layers that it was asked to run. */
const misdirectedStatus = 421;

/** Chooses chains for the requests of one service, detects stalled chains, and finds the targets at fault. */
export class ChainService {
    private readonly router: ChainRouter;
    private readonly users = new Map<ChainLoad, Set<ChainUser>>();
    private readonly inspector: TargetInspector;
    private readonly loop: LoopDelay;
    private readonly surveyedAt = new WeakMap<ChainLoad, number>();
    private checkedAt: number;
    private checkedRevision = -1;
    private readonly isOn: MechanismSwitch;
    private isStopped = false;

    constructor(private readonly options: ChainServiceOptions) {
        this.isOn = options.isOn ?? allMechanismsOn;
        const rooms = new LearnedRooms(options.clock);
        this.router = new ChainRouter({
            ...options,
            rooms,
            ...logChains(options),
        });
        this.loop = new LoopDelay(options.clock);
        this.inspector = new TargetInspector({ ...options, rooms, loop: this.loop });
        this.checkedAt = options.clock.now();
        this.scheduleCheck();
    }

    /** Chooses a chain that is not in `failed`; a chain that is avoided after a stall only if there is no other. */
    choose(failed: ReadonlySet<string>, prompt?: number): ChainLoad | undefined {
        return this.chooseHealthy(failed, prompt) ?? this.router.choose(this.options.engine, failed, prompt);
    }

    /** Like {@link ChainService.choose}, but never a recently stalled chain: a retry there would waste retry budget. */
    chooseHealthy(failed: ReadonlySet<string>, prompt?: number): ChainLoad | undefined {
        return this.router.chooseHealthy(this.options.engine, failed, prompt);
    }

    /** Chooses the chain on which an interrupted stream is resumed. */
    chooseToResume(failed: ReadonlySet<string>, prompt?: number): ChainLoad | undefined {
        return this.router.chooseToResume(this.options.engine, failed, prompt);
    }

    /** Like {@link ChainService.chooseHealthy}, but never a full chain: a queued request gains nothing there. */
    chooseWithRoom(failed: ReadonlySet<string>, prompt?: number): ChainLoad | undefined {
        const load = this.chooseHealthy(failed, prompt);
        return load !== undefined && this.router.hasRoom(load) ? load : undefined;
    }

    /** Returns the number of requests that this process has in flight, by the first target of their chain. */
    headLoads(): [string, number][] {
        return this.router.headLoads();
    }

    /** Returns the condition of a chain as log fields. */
    diagnostics({ lastEventAt }: ChainLoad): ChainDiagnostics {
        return {
            chainSilence: Math.round(this.options.clock.now() - lastEventAt),
            loopDelay: Math.round(this.loop.recent),
        };
    }

    /** The first targets of the current chains. */
    listHeads(): Target[] {
        return this.router.current(this.options.engine).flatMap(({ chain }) =>
            this.target(chain.hops[0]?.targetId ?? "") ?? []
        );
    }

    /** Number of requests of all gateways for which a chain has room. */
    roomOf({ chain }: ChainLoad): number {
        return this.router.roomOf(chain);
    }

    /** Milliseconds until a chain can be built because rests have ended; see {@link ChainRouter.restLeft}. */
    get restLeft(): number | undefined {
        return this.router.restLeft(this.options.engine);
    }

    target(id: string): Target | undefined {
        return this.options.directory.get(id);
    }

    stop(): void {
        this.isStopped = true;
        this.inspector.stop();
    }

    /** Discards the penalties of a target, because it has restarted. */
    forget(id: string): void {
        this.inspector.forget(id);
    }

    /** Records that a request is sent over the chain. */
    begin(load: ChainLoad, user: ChainUser): void {
        load.inFlight++;
        this.router.noteSend(this.options.engine, load);
        const users = this.users.get(load);
        if (users === undefined) {
            this.users.set(load, new Set([user]));
        }
        else {
            users.add(user);
        }
    }

    /** Predicts the milliseconds to the first event of a request that is sent now; undefined if that is uncertain. */
    expectFirstEvent(load: ChainLoad, prompt?: number): number | undefined {
        return this.router.timed.expectFirstEvent(this.options.engine, load, prompt);
    }

    /**
     * Records that a request on the chain has received its first event.
     *
     * @param taken - Milliseconds since it was sent.
     * @param expected - Milliseconds that were expected when it was sent.
     */
    firstEvent(load: ChainLoad, taken?: number, expected?: number): void {
        load.streaming++;
        if (taken !== undefined && expected !== undefined) {
            this.router.timed.noteFirstEvent(load, taken, expected);
        }
    }

    /**
     * Records that a stream on the chain has received an event.
     *
     * @param interval - Milliseconds since its previous event; undefined unless that came over the same chain.
     */
    event(load: ChainLoad, interval?: number): void {
        load.lastEventAt = this.options.clock.now();
        if (interval !== undefined && interval < stallSilence) {
            const known = load.eventInterval ?? interval;
            load.eventInterval = known + (interval - known) * intervalWeight;
            this.router.timed.noteInterval(this.options.engine, load);
        }
    }

    /** Records that a request no longer uses the chain. */
    end(load: ChainLoad, user: ChainUser, hadEvents: boolean): void {
        load.inFlight--;
        this.router.timed.noteEnd(load.chain);
        load.streaming -= hadEvents ? 1 : 0;
        const users = this.users.get(load);
        users?.delete(user);
        if (users?.size === 0) {
            this.users.delete(load);
        }
    }

    /** Records that a target of the chain refused a request, and inspects or avoids that target. */
    refused(load: ChainLoad, status: number, address: string | undefined): void {
        const hop = load.chain.hops.find(hop => hop.address === address) ?? load.chain.hops[0];
        if (hop === undefined) {
            return;
        }
        if (status === misdirectedStatus) {
            this.inspector.avoidMisplaced(hop.targetId);
            return;
        }
        this.inspector.inspectRefusing(hop.targetId, this.router.usedShare(load) >= nearlyFullShare);
    }

    /**
     * Records that a stream on the chain failed, and looks for the target at fault.
     *
     * @param neverSent - Whether no connection to the first target could be opened.
     */
    streamFailed(load: ChainLoad, neverSent: boolean): void {
        const head = load.chain.hops[0];
        if (neverSent && head !== undefined) {
            this.inspector.avoidUnreachable(head.targetId);
            return;
        }
        void this.survey(load);
    }

    /**
     * Records that a run on the chain brought what belongs to no answer: bytes without end, or events that contradict
     * each other. Reports of targets cannot show such a fault, so the chain gets no requests for a while if there is
     * another one.
     */
    ranFaulty(load: ChainLoad): void {
        load.faultyUntil = this.options.clock.now() + stallAvoidanceTime;
    }

    private scheduleCheck(): void {
        const { clock } = this.options;
        const delay = this.nextCheckDelay();
        const due = clock.now() + delay;
        clock.schedule(() => {
            if (!this.isStopped) {
                this.loop.record(due);
                this.checkStalls();
                this.scheduleCheck();
            }
        }, delay);
    }

    /** Returns the milliseconds until the first chain exceeds its silence limit, if no event arrives. */
    private nextCheckDelay(): number {
        const now = this.options.clock.now();
        const watched = [...this.users.keys()].filter(({ streaming }) => streaming >= minStallStreams);
        const delays = watched.map(load => load.lastEventAt + this.silenceLimit(load) - now);
        return Math.max(checkDelayBounds.min, Math.min(checkDelayBounds.max, ...delays));
    }

    /** Moves requests off chains with a restarted target, which has lost them although it answers. */
    private leaveRestartedChains(): void {
        const { directory } = this.options;
        if (directory.revision === this.checkedRevision) {
            return;
        }
        this.checkedRevision = directory.revision;
        for (const load of this.users.keys()) {
            const restarted = load.chain.hops.find(({ targetId, startedAt }) => {
                const target = directory.get(targetId);
                return target !== undefined && target.startedAt !== startedAt;
            });
            if (restarted !== undefined) {
                this.leave(load, `${restarted.address} has started again`);
            }
        }
    }

    private checkStalls(): void {
        this.leaveRestartedChains();
        const now = this.options.clock.now();
        const stoodStill = now - this.checkedAt > maxCheckPause;
        this.checkedAt = now;
        for (const load of this.users.keys()) {
            if (stoodStill || load.streaming === 0) {
                load.lastEventAt = now;
                continue;
            }
            if (load.streaming < minStallStreams) {
                continue;
            }
            const silence = now - load.lastEventAt;
            if (silence > this.silenceLimit(load) && this.isOn("chain-surveys")) {
                void this.survey(load);
            }
            if (silence > (this.isOn("stall-patience") ? stallSilence : shortStallSilence)) {
                this.leaveStalled(load, now);
            }
        }
    }

    private leaveStalled(load: ChainLoad, now: number): void {
        this.options.observation.logs.chains.warn({
            chain: load.chain.dataCentre,
            silence: Math.round(now - load.lastEventAt),
            loopDelay: Math.round(this.loop.recent),
            streams: load.streaming,
            requests: load.inFlight,
        }, "chain stalled");
        load.avoidedUntil = now + stallAvoidanceTime;
        load.lastEventAt = now;
        this.leave(load, "chain stalled");
    }

    /**
     * Requests reports from the targets of a failed chain and of the chain that its requests would move to: when
     * several targets are lost at the same time, moving to another broken chain would use up attempts and the retry
     * budget. Requests leave every chain on which a target gives no report.
     */
    private async survey(load: ChainLoad): Promise<void> {
        const { clock } = this.options;
        if (clock.now() - (this.surveyedAt.get(load) ?? -Infinity) < surveyInterval) {
            return;
        }
        this.surveyedAt.set(load, clock.now());
        const next = this.choose(new Set([load.chain.key]));
        const hops = [...load.chain.hops, ...next?.chain.hops ?? []];
        const silent = await this.inspector.survey([...new Set(hops.map(({ targetId }) => targetId))]);
        load.falseAlarms = silent.length === 0 ? load.falseAlarms + 1 : 0;
        for (const other of this.users.keys()) {
            const isSuspect = other.streaming === 0 || clock.now() - other.lastEventAt > this.silenceLimit(other);
            const fault = isSuspect ? this.findFault(other.chain, silent) : undefined;
            if (fault !== undefined) {
                this.leave(other, fault);
            }
        }
    }

    /** Describes the fault of the target that keeps a chain from making progress; undefined when there is none. */
    private findFault({ hops }: Chain, silent: readonly string[]): string | undefined {
        const silentHop = hops.find(({ targetId }) => silent.includes(targetId));
        if (silentHop !== undefined) {
            return `${silentHop.address} is silent`;
        }
        const lostHop = hops.find(({ targetId }) => this.options.suspicions.isLost(targetId));
        return lostHop === undefined ? undefined : `${lostHop.address} stalls others`;
    }

    private leave(load: ChainLoad, reason: string): void {
        [...this.users.get(load) ?? []].forEach(user => user.leaveChain(load, reason));
    }

    /** Returns the milliseconds without an event of any stream of a chain after which its targets are surveyed. */
    private silenceLimit({ chain, eventInterval, falseAlarms }: ChainLoad): number {
        if (chain.crossings > 0) {
            return crossingSilence;
        }
        const { min, max } = surveySilenceBounds;
        if (eventInterval === undefined || !this.isOn("survey-intervals")) {
            return max;
        }
        const { first, step, max: maxFactor } = surveyFactor;
        const factor = Math.min(maxFactor, first + step * falseAlarms);
        return Math.min(max + falseAlarmSilence * falseAlarms, Math.max(min, eventInterval * factor));
    }
}
