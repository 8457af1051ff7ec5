import { type Clock } from "@waxwingspar/utils";
import { type Engine } from "../configuration/Configuration.js";
import { type Target } from "../directory/Target.js";
import { type TargetDirectory } from "../directory/TargetDirectory.js";
import { allMechanismsOn, type MechanismSwitch } from "../Mechanisms.js";
import { type TargetRests } from "../rests/TargetRests.js";
import { buildChain, type Slowdown } from "./buildChain.js";
import { buildChains } from "./buildChains.js";
import { buildMixedChains } from "./buildMixedChains.js";
import { type Chain } from "./Chain.js";
import { type ChainCondition, chainCost, type ChainUse, isReserve, resumeCost } from "./chainCost.js";
import { type CrossingAllowance, crossingTime } from "./CrossingAllowance.js";
import { type LearnedRooms } from "./LearnedRooms.js";
import { type TargetPaces } from "./TargetPaces.js";
import { type TargetSuspicions } from "./TargetSuspicions.js";
import { type ChainDrawbacks, headOf, TimedChoice } from "./TimedChoice.js";

/** Options of {@link ChainRouter}. */
export interface ChainRouterOptions {
    readonly clock: Clock;
    readonly service: string;
    /** The data centre of this process, whose chains are preferred. */
    readonly dataCentre: string;
    readonly directory: TargetDirectory;
    readonly suspicions: TargetSuspicions;
    readonly paces: TargetPaces;
    readonly rests: Pick<TargetRests, "timeLeft" | "fingerprint">;
    /** Number of requests that other processes have in flight on chains whose first target has this id. */
    readonly peerLoad: (headId: string) => number;
    /** Lowers the rooms of chains whose targets were found full; undefined to use the computed rooms. */
    readonly rooms?: Pick<LearnedRooms, "share">;
    /** Limits new requests on chains between data centres; undefined if their links have no limit. */
    readonly crossingAllowance?: CrossingAllowance;
    /** The smallest limit on the interval between events of the service's routes; undefined if they have none. */
    readonly maxEventInterval?: () => number | undefined;
    readonly isOn?: MechanismSwitch;
    /** Called when the first chain of a data centre has changed; `chain` is undefined when there is none now. */
    readonly onChange?: (dataCentre: string, chain: Chain | undefined) => void;
    /** Called when the further chains of a data centre are others than before. */
    readonly onFurtherChange?: (dataCentre: string, chains: readonly Chain[]) => void;
}

/** A chain and the requests of this process on it. */
export interface ChainLoad {
    /** Its targets and ranges never change; its room and slowdown are updated with each rebuild. */
    chain: Chain;
    inFlight: number;
    /** Requests that have received their first event. */
    streaming: number;
    /** When any request on the chain last received an event. */
    lastEventAt: number;
    /** Moving average of the milliseconds between two events of a stream; undefined before the first interval. */
    eventInterval: number | undefined;
    /** Number of consecutive surveys that found no silent target. */
    falseAlarms: number;
    /** Until when the chain gets no new requests, because its streams stalled. */
    avoidedUntil: number;
    /** Until when, on the clock, other chains are preferred because a run on this one was faulty. */
    faultyUntil: number;
}

/**
 * Maintains the chains of each data centre for one service and balances requests over them by cost. The further chains
 * of a data centre take the part of an overload for which its first chain has no slots or memory.
 */
export class ChainRouter {
    private chains: ChainLoad[] = [];
    /** The first chain of the data centre, by further chain. */
    private firsts = new Map<ChainLoad, ChainLoad>();
    private readonly loads = new Map<string, ChainLoad>();
    private builtState = "";
    /** When a chain can be built because rests have ended, on the clock. */
    private restEnd: number | undefined;
    private readonly isOn: MechanismSwitch;
    /** The part of the choice that rests on predicted times. */
    readonly timed: TimedChoice;
    private engine: Engine | undefined;

    constructor(private readonly options: ChainRouterOptions) {
        const { isOn = allMechanismsOn } = options;
        this.isOn = isOn;
        this.timed = new TimedChoice({
            ...options,
            isOn,
            ownLoad: headId => this.headLoad(headId),
            heads: () => this.chains.map(({ chain }) => headOf(chain)),
            room: chain => isOn("chain-room") ? this.roomOf(chain) : Infinity,
        });
    }

    /**
     * Chooses the chain for a request that has not begun.
     *
     * @param excluded - Keys of chains on which the request has failed.
     * @param prompt - Length of its prompt in tokens; undefined if unknown.
     * @returns The chain with the lowest cost; undefined when every chain is excluded or full, or there is none.
     */
    choose(engine: Engine, excluded: ReadonlySet<string>, prompt?: number): ChainLoad | undefined {
        const loads = this.current(engine).filter(load => !excluded.has(load.chain.key) && this.mayAdd(engine, load));
        return cheapest(loads, this.costAfter(engine, excluded, prompt));
    }

    /** Like {@link ChainRouter.choose}, but leaves out chains that are avoided after a stall. */
    chooseHealthy(engine: Engine, excluded: ReadonlySet<string>, prompt?: number): ChainLoad | undefined {
        const now = this.options.clock.now();
        const healthy = this.current(engine).filter(load =>
            load.avoidedUntil <= now && !excluded.has(load.chain.key) && this.mayAdd(engine, load)
        );
        return cheapest(this.preferSound(healthy), this.costAfter(engine, excluded, prompt));
    }

    /**
     * Chooses the chain for an interrupted stream, which should resume within 200 ms. It prefers chains with few
     * pending prompts of this process, regardless of their data centre. A link between data centres that is in use comes
     * last: it would carry the activations of all tokens of the stream again.
     */
    chooseToResume(engine: Engine, excluded: ReadonlySet<string>, prompt?: number): ChainLoad | undefined {
        const now = this.options.clock.now();
        const healthy = this.current(engine).filter(load => load.avoidedUntil <= now && !excluded.has(load.chain.key));
        const readable = healthy.filter(load => this.mayAdd(engine, load));
        return cheapest(
            this.preferSound(readable.length > 0 ? readable : healthy),
            this.isOn("resume-spread")
                ? this.resumeCostAfter(engine, excluded, prompt)
                : this.costAfter(engine, excluded, prompt),
        );
    }

    /** @returns The chains without a recent faulty run, or all if each one has had such a run. */
    private preferSound(loads: readonly ChainLoad[]): readonly ChainLoad[] {
        const now = this.options.clock.now();
        const sound = loads.filter(({ faultyUntil }) => faultyUntil <= now);
        return sound.length > 0 ? sound : loads;
    }

    /** Records that a request is sent over a chain. */
    noteSend(engine: Engine, { chain }: ChainLoad): void {
        this.timed.noteSend(chain);
        if (chain.crossings > 0) {
            this.options.crossingAllowance?.use(crossingTime(engine) * chain.crossings);
        }
    }

    /** Whether the links of a chain can carry one more request that has not begun. */
    private mayAdd(engine: Engine, { chain }: ChainLoad): boolean {
        const { crossingAllowance } = this.options;
        return chain.crossings === 0 || crossingAllowance === undefined || !this.isOn("crossing-allowance")
            || crossingAllowance.mayUse(crossingTime(engine) * chain.crossings);
    }

    /** Whether a chain has room for one more request. */
    hasRoom({ chain }: ChainLoad): boolean {
        return this.requestsOn(chain) + 1 <= this.roomOf(chain);
    }

    /** The requests of all gateways on a chain, relative to its room. */
    usedShare({ chain }: ChainLoad): number {
        return this.requestsOn(chain) / this.roomOf(chain);
    }

    /** The room of a chain up to the load at which its events are late, less what its targets were found to lack. */
    roomOf(chain: Chain): number {
        const { rooms } = this.options;
        const inTime = this.engine === undefined ? Infinity : this.timed.roomInTime(this.engine, chain);
        const room = Math.min(chain.room, inTime);
        return rooms === undefined || !this.isOn("several-chains")
            ? room
            : room * Math.min(...chain.hops.map(({ targetId }) => rooms.share(targetId)));
    }

    /**
     * Returns the current chains, the first one of each data centre before its further ones; rebuilds them when targets
     * or slowdowns changed.
     */
    current(engine: Engine): ChainLoad[] {
        const { directory, suspicions, paces, rests } = this.options;
        this.engine = engine;
        const suspected = suspicions.list();
        const resting = rests.fingerprint;
        const state = `${directory.revision} ${suspected.join()} ${resting} ${paces.fingerprint} ${engine.layers}`;
        if (state !== this.builtState) {
            this.builtState = state;
            this.rebuild(engine);
            this.restEnd = this.findRestEnd(engine);
        }
        return this.chains;
    }

    /** Returns the number of requests that this process has in flight, by the first target of their chain. */
    headLoads(): [string, number][] {
        const sums = new Map<string, number>();
        for (const { chain, inFlight } of this.loads.values()) {
            const head = headOf(chain);
            if (inFlight > 0) {
                sums.set(head, (sums.get(head) ?? 0) + inFlight);
            }
        }
        return [...sums];
    }

    /**
     * Milliseconds until a chain can be built because rests of its targets have ended; undefined if there is a chain, or
     * rests are not what prevents one.
     */
    restLeft(engine: Engine): number | undefined {
        const hasChain = this.current(engine).length > 0;
        return hasChain || this.restEnd === undefined ? undefined : this.restEnd - this.options.clock.now();
    }

    private findRestEnd(engine: Engine): number | undefined {
        const { clock, rests } = this.options;
        if (this.chains.length > 0) {
            return undefined;
        }
        const candidates = this.listUnsuspected().map(target => ({ target, wait: rests.timeLeft(target) }));
        const waits = [...new Set(candidates.map(({ wait }) => wait))].sort((a, b) => a - b);
        const first = waits.find(limit => {
            const targets = candidates.flatMap(({ target, wait }) => wait <= limit ? [target] : []);
            const dataCentres = new Set(targets.map(({ dataCentre }) => dataCentre));
            return [...dataCentres].some(dataCentre => buildChain(dataCentre, targets, engine) !== undefined);
        });
        return first === undefined ? undefined : clock.now() + first;
    }

    private listUnsuspected(): Target[] {
        const { directory, service, suspicions } = this.options;
        const suspected = new Set(suspicions.list());
        return directory.readyTargets(service).filter(({ id }) => !suspected.has(id));
    }

    private rebuild(engine: Engine): void {
        const { paces, rests } = this.options;
        const slowdown: Slowdown = id => this.isOn("slow-targets") ? paces.slowdown(id) : 1;
        const targets = this.listUnsuspected().filter(target => rests.timeLeft(target) === 0);
        const dataCentres = [...new Set(targets.map(({ dataCentre }) => dataCentre))].sort();
        const local = dataCentres.flatMap(dataCentre => {
            const ofDataCentre = targets.filter(target => target.dataCentre === dataCentre);
            const previous = this.chainsOf(dataCentre);
            return this.isOn("several-chains")
                ? buildChains(dataCentre, ofDataCentre, engine, { slowdown, previous })
                : buildChain(dataCentre, ofDataCentre, engine, slowdown) ?? [];
        });
        const mixed = this.isOn("mixed-chains") ? buildMixedChains(dataCentres, local, targets, engine, slowdown) : [];
        const chains = [...local, ...mixed];
        for (const [key, load] of this.loads) {
            if (load.inFlight === 0 && chains.every(chain => chain.key !== key)) {
                this.loads.delete(key);
            }
        }
        this.reportChanges(chains);
        this.chains = chains.map(chain => this.getOrCreateLoad(chain));
        this.firsts = new Map(this.chains.flatMap(load => {
            const first = this.chains.find(({ chain }) => chain.dataCentre === load.chain.dataCentre);
            return first === undefined || first === load ? [] : [[load, first] as const];
        }));
    }

    private chainsOf(dataCentre: string): Chain[] {
        return this.chains.flatMap(({ chain }) => chain.dataCentre === dataCentre ? [chain] : []);
    }

    private reportChanges(chains: readonly Chain[]): void {
        const dataCentres = [...this.chains.map(({ chain }) => chain), ...chains].map(({ dataCentre }) => dataCentre);
        for (const dataCentre of new Set(dataCentres)) {
            const [firstBefore, ...furtherBefore] = this.chainsOf(dataCentre);
            const [first, ...further] = chains.filter(chain => chain.dataCentre === dataCentre);
            if (firstBefore?.key !== first?.key) {
                this.options.onChange?.(dataCentre, first);
            }
            if (furtherBefore.map(({ key }) => key).join() !== further.map(({ key }) => key).join()) {
                this.options.onFurtherChange?.(dataCentre, further);
            }
        }
    }

    private getOrCreateLoad(chain: Chain): ChainLoad {
        const known = this.loads.get(chain.key);
        if (known !== undefined) {
            known.chain = chain;
            return known;
        }
        const load: ChainLoad = {
            chain,
            inFlight: 0,
            streaming: 0,
            lastEventAt: this.options.clock.now(),
            eventInterval: undefined,
            falseAlarms: 0,
            avoidedUntil: -Infinity,
            faultyUntil: -Infinity,
        };
        this.loads.set(chain.key, load);
        return load;
    }

    /** Returns the cost of chains for a request that has failed on the excluded ones. */
    private costAfter(engine: Engine, excluded: ReadonlySet<string>, prompt?: number): (load: ChainLoad) => number {
        if (!this.timed.applies(engine)) {
            return load => chainCost(this.conditionOf(load, excluded));
        }
        const costs = this.timed.costs(engine, prompt);
        return load => costs(load, this.drawbacksOf(load, excluded));
    }

    /** Returns the cost of chains for a stream that is resumed after it has failed on the excluded ones. */
    private resumeCostAfter(
        engine: Engine,
        excluded: ReadonlySet<string>,
        prompt?: number,
    ): (load: ChainLoad) => number {
        if (!this.timed.applies(engine)) {
            return load => resumeCost(this.conditionOf(load, excluded), load.inFlight - load.streaming);
        }
        const costs = this.timed.resumeCosts(engine, prompt);
        return load => costs(load, this.drawbacksOf(load, excluded));
    }

    private drawbacksOf(load: ChainLoad, excluded: ReadonlySet<string>): ChainDrawbacks {
        const condition = this.conditionOf(load, excluded);
        return { isReserve: isReserve(condition), sharesFailedTarget: condition.sharesFailedTarget };
    }

    private conditionOf(load: ChainLoad, excluded: ReadonlySet<string>): ChainCondition {
        const first = this.firsts.get(load);
        const now = this.options.clock.now();
        const takesRequests = first !== undefined && first.avoidedUntil <= now && first.faultyUntil <= now;
        const use = this.useOf(load);
        return {
            ...use,
            room: this.isOn("chain-room") ? use.room : Infinity,
            isRemote: load.chain.dataCentre !== this.options.dataCentre,
            first: takesRequests ? this.useOf(first) : undefined,
            sharesFailedTarget: excluded.size > 0 && this.sharesTarget(load.chain, excluded),
        };
    }

    private useOf({ chain }: ChainLoad): ChainUse {
        return { chain, requests: this.requestsOn(chain), room: this.roomOf(chain) };
    }

    /** Whether a chain shares a target with a current chain of its data centre that is excluded. */
    private sharesTarget({ dataCentre, hops }: Chain, excluded: ReadonlySet<string>): boolean {
        const ids = new Set(hops.map(({ targetId }) => targetId));
        return this.chainsOf(dataCentre).some(other =>
            excluded.has(other.key) && other.hops.some(({ targetId }) => ids.has(targetId))
        );
    }

    /** Counts the requests of all gateways on chains that begin at the same target. */
    private requestsOn(chain: Chain): number {
        const head = headOf(chain);
        return this.headLoad(head) + this.options.peerLoad(head);
    }

    /** Counts the requests of this process on all chains that begin at a target, including replaced chains. */
    private headLoad(head: string): number {
        let sum = 0;
        for (const { chain, inFlight } of this.loads.values()) {
            sum += chain.hops[0]?.targetId === head ? inFlight : 0;
        }
        return sum;
    }
}

function cheapest(loads: readonly ChainLoad[], cost: (load: ChainLoad) => number): ChainLoad | undefined {
    let best: ChainLoad | undefined;
    let bestCost = Infinity;
    for (const load of loads) {
        const candidateCost = cost(load);
        if (candidateCost < bestCost) {
            best = load;
            bestCost = candidateCost;
        }
    }
    return best;
}
