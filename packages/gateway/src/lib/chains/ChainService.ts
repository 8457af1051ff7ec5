import { type Clock } from "@waxwingspar/utils";
import { type Engine } from "../configuration/Configuration.js";
import { type Target } from "../directory/Target.js";
import { type TargetDirectory } from "../directory/TargetDirectory.js";
import { allMechanisms, type MechanismSwitch } from "../Mechanisms.js";
import { LoopDelay } from "../observation/LoopDelay.js";
import { type Observation } from "../observation/Observation.js";
import { type Chain } from "./Chain.js";
import { type ChainLoad, ChainRouter } from "./ChainRouter.js";
import { type EngineControl } from "./EngineControl.js";
import { TargetInspector } from "./TargetInspector.js";
import { type TargetPaces } from "./TargetPaces.js";
import { type TargetSuspicions } from "./TargetSuspicions.js";

/** A request on chains, which can be told that one of them seems to fail. */
export interface ChainUser {
    /** Goes on over another chain, if the request can and that one does. */
    leaveChain(load: ChainLoad, reason: string): void;
}

/** What a chain is judged by at some moment, in milliseconds. */
export interface ChainEvidence {
    /** Since the last event of any stream on it. */
    readonly chainSilence: number;
    /** How late the timers of this process ran of late. */
    readonly loopDelay: number;
}

/** Options of {@link ChainService}. */
export interface ChainServiceOptions {
    readonly clock: Clock;
    readonly service: string;
    readonly dataCentre: string;
    readonly engine: Engine;
    readonly directory: TargetDirectory;
    readonly suspicions: TargetSuspicions;
    readonly paces: TargetPaces;
    readonly peerLoad: (headId: string) => number;
    readonly engines: EngineControl;
    readonly isOn?: MechanismSwitch;
    readonly observation: Observation;
}

/** Bounds of the milliseconds between two looks for silent chains: each takes processor time, and more gain nothing. */
const stallCheck = { least: 8, most: 40 };
/** Streams that must have begun on a chain before their silence together says something. */
const stallStreams = 2;
/**
 * Mean intervals between a stream's events without an event of any stream of a chain, after which its targets are looked at
 * while the streams stay. Each look that finds nothing makes it longer for this chain: a look is priced, and with 1.2 for
 * good a day cost 1,800 reports more, 0.004 of its worth.
 */
const surveyIntervals = { first: 1.2, step: 0.2, most: 2.2 };
/** Bounds of that silence in milliseconds: jitter of the links, and what leaves time to go on within 200 ms. */
const surveySilence = { least: 30, most: 70 };
/**
 * What each look that finds nothing adds to the upper bound: a process with few streams on a chain often hears nothing for
 * longer. 23 gateways together asked for 20,292 reports on a played day, 0.014 of its worth.
 */
const alarmSilence = 15;
/** Weight of the newest interval in the mean. */
const intervalWeight = 0.05;
/**
 * Milliseconds without an event of any stream of a chain that mean a stall, although all its targets answer. A slow chain is
 * silent for longer than a sound one, and streams that leave it have their prompts read again, which slows the others. On a
 * played day with five slow targets streams that left after 130 ms made others read 482,000 tokens again.
 */
const stallSilence = 600;
/** The same without that patience: a few intervals of a sound chain. */
const hastyStallSilence = 130;
/**
 * The silence after which the targets of a chain between data centres are looked at, in milliseconds. Its tokens wait behind
 * the prompts of others on a pipe that all share; the figure is chosen: a prompt takes about 20 ms of it, and few are on it
 * at once.
 */
const crossingSilence = 400;
/** A look that comes so late means that this process itself stood still, so silence proves nothing. */
const lateCheck = 90;
/** Milliseconds for which a stalled chain gets no new requests unless a look at its targets finds one at fault. */
const stalledPause = 1_500;
/** Milliseconds between two surveys of a chain: each is priced, and a lost range takes longer to come back. */
const surveyPause = 500;
const misdirected = 421;

/** The chains of one service: choice, stalls, and which target is to blame. */
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
        this.isOn = options.isOn ?? allMechanisms;
        this.router = new ChainRouter({
            ...options,
            onChange: (dataCentre, chain) => this.logChain(dataCentre, chain),
        });
        this.loop = new LoopDelay(options.clock);
        this.inspector = new TargetInspector({ ...options, loop: this.loop });
        this.checkedAt = options.clock.now();
        this.scheduleCheck();
    }

    /** Chooses a chain that is not among the failed ones. */
    choose(failed: ReadonlySet<string>): ChainLoad | undefined {
        return this.chooseWell(failed) ?? this.router.choose(this.options.engine, failed);
    }

    /** The same, but none that stalled a moment ago: a repeat is worth its part of the budget on a sound chain only. */
    chooseWell(failed: ReadonlySet<string>): ChainLoad | undefined {
        return this.router.chooseWell(this.options.engine, failed);
    }

    /** The best chain for a stream that broke off to go on. */
    chooseToResume(failed: ReadonlySet<string>): ChainLoad | undefined {
        return this.router.chooseToResume(this.options.engine, failed);
    }

    /** The same, but none that is full: a request that waits is no better off at the end of another queue. */
    chooseWithRoom(failed: ReadonlySet<string>): ChainLoad | undefined {
        const load = this.chooseWell(failed);
        return load !== undefined && this.router.hasRoom(load) ? load : undefined;
    }

    /** Requests of this process in flight, by the first target of their chain. */
    headLoads(): [string, number][] {
        return this.router.headLoads();
    }

    /** What is known of a chain now, for the logs. */
    evidence({ lastEventAt }: ChainLoad): ChainEvidence {
        return {
            chainSilence: Math.round(this.options.clock.now() - lastEventAt),
            loopDelay: Math.round(this.loop.recent),
        };
    }

    target(id: string): Target | undefined {
        return this.options.directory.get(id);
    }

    stop(): void {
        this.isStopped = true;
        this.inspector.stop();
    }

    /** Forgets what a target did before it started again. */
    forget(id: string): void {
        this.inspector.forget(id);
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

    /** A stream got an event, so many milliseconds after its last one if that came over the same chain. */
    event(load: ChainLoad, interval?: number): void {
        load.lastEventAt = this.options.clock.now();
        if (interval !== undefined && interval < stallSilence) {
            const known = load.eventInterval ?? interval;
            load.eventInterval = known + (interval - known) * intervalWeight;
        }
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
            this.inspector.avoidMisplaced(hop.targetId);
            return;
        }
        this.inspector.inspectRefusing(hop.targetId);
    }

    /** A stream of the chain broke off. */
    broke(load: ChainLoad, neverSent: boolean): void {
        const head = load.chain.hops[0];
        if (neverSent && head !== undefined) {
            this.inspector.avoidUnreachable(head.targetId);
            return;
        }
        void this.survey(load);
    }

    private logChain(dataCentre: string, chain: Chain | undefined): void {
        const { observation, directory } = this.options;
        observation.logs.chains.info({
            chain: dataCentre,
            list: directory.revision,
            hops: chain?.hops.map(({ targetId, layers }) => `${targetId}=${layers.first}-${layers.end}`),
            room: chain === undefined ? undefined : Math.round(chain.room),
            crossings: chain?.crossings,
            slowdown: chain?.slowdown,
        }, chain === undefined ? "chain broken" : "chain built");
    }

    private scheduleCheck(): void {
        const { clock } = this.options;
        const delay = this.nextCheck();
        const due = clock.now() + delay;
        clock.schedule(() => {
            if (!this.isStopped) {
                this.loop.note(due);
                this.checkStalls();
                this.scheduleCheck();
            }
        }, delay);
    }

    /** Milliseconds until a chain can have been silent for long enough, if no event comes meanwhile. */
    private nextCheck(): number {
        const now = this.options.clock.now();
        const watched = [...this.users.keys()].filter(({ streaming }) => streaming >= stallStreams);
        const delays = watched.map(load => load.lastEventAt + this.silenceLimit(load) - now);
        return Math.max(stallCheck.least, Math.min(stallCheck.most, ...delays));
    }

    /** A target that has started again knows nothing of the requests on it, although it answers. */
    private leaveRestarted(): void {
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
        this.leaveRestarted();
        const now = this.options.clock.now();
        const stoodStill = now - this.checkedAt > lateCheck;
        this.checkedAt = now;
        for (const load of this.users.keys()) {
            if (stoodStill || load.streaming === 0) {
                load.lastEventAt = now;
                continue;
            }
            if (load.streaming < stallStreams) {
                continue;
            }
            const silence = now - load.lastEventAt;
            if (silence > this.silenceLimit(load) && this.isOn("chain-surveys")) {
                void this.survey(load);
            }
            if (silence > (this.isOn("stall-patience") ? stallSilence : hastyStallSilence)) {
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
        load.avoidedUntil = now + stalledPause;
        load.lastEventAt = now;
        this.leave(load, "chain stalled");
    }

    /**
     * Looks at the targets of a chain that failed, and of the one that its requests would move to: when several are lost
     * at once, a move to the next broken chain would use up attempts and the retry budget. Requests leave every chain on
     * which a target is found to be silent.
     */
    private async survey(load: ChainLoad): Promise<void> {
        const { clock } = this.options;
        if (clock.now() - (this.surveyedAt.get(load) ?? -Infinity) < surveyPause) {
            return;
        }
        this.surveyedAt.set(load, clock.now());
        const next = this.choose(new Set([load.chain.key]));
        const hops = [...load.chain.hops, ...next?.chain.hops ?? []];
        const silent = await this.inspector.survey([...new Set(hops.map(({ targetId }) => targetId))]);
        load.falseAlarms = silent.length === 0 ? load.falseAlarms + 1 : 0;
        for (const other of this.users.keys()) {
            const isDoubtful = other.streaming === 0 || clock.now() - other.lastEventAt > this.silenceLimit(other);
            const fault = isDoubtful ? this.findFault(other.chain, silent) : undefined;
            if (fault !== undefined) {
                this.leave(other, fault);
            }
        }
    }

    /** Why no stream of a chain can go on, if one of its targets is to blame. */
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

    /** Milliseconds without an event of any stream of a chain after which its targets are looked at. */
    private silenceLimit({ chain, eventInterval, falseAlarms }: ChainLoad): number {
        if (chain.crossings > 0) {
            return crossingSilence;
        }
        const { least, most } = surveySilence;
        if (eventInterval === undefined || !this.isOn("survey-intervals")) {
            return most;
        }
        const { first, step, most: mostIntervals } = surveyIntervals;
        const intervals = Math.min(mostIntervals, first + step * falseAlarms);
        return Math.min(most + alarmSilence * falseAlarms, Math.max(least, eventInterval * intervals));
    }
}
