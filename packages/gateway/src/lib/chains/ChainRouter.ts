import { type Clock } from "@waxwingspar/utils";
import { type Engine } from "../configuration/Configuration.js";
import { type Target } from "../directory/Target.js";
import { type TargetDirectory } from "../directory/TargetDirectory.js";
import { allMechanisms, type MechanismSwitch } from "../Mechanisms.js";
import { buildChain, type Slowdown } from "./buildChain.js";
import { type Chain } from "./Chain.js";
import { type TargetPaces } from "./TargetPaces.js";
import { type TargetSuspicions } from "./TargetSuspicions.js";

/** Options of {@link ChainRouter}. */
export interface ChainRouterOptions {
    readonly clock: Clock;
    readonly service: string;
    /** The data centre of this process, which is preferred. */
    readonly dataCentre: string;
    readonly directory: TargetDirectory;
    readonly suspicions: TargetSuspicions;
    readonly paces: TargetPaces;
    /** Requests of other processes in flight on chains that begin at a target. */
    readonly peerLoad: (headId: string) => number;
    /** Called with the chain that now begins in a data centre, or none, when another one did before. */
    readonly isOn?: MechanismSwitch;
    readonly onChange?: (dataCentre: string, chain: Chain | undefined) => void;
}

/** A chain in use by requests of this process. */
export interface ChainLoad {
    /** The same targets and ranges for good; its room and slowdown as last known. */
    chain: Chain;
    inFlight: number;
    /** Requests whose first event has come. */
    streaming: number;
    /** When any request on the chain last got an event. */
    lastEventAt: number;
    /** Mean milliseconds between two events of one stream of late; undefined until some were seen. */
    eventInterval: number | undefined;
    /** Looks at its targets that found nothing wrong. */
    falseAlarms: number;
    /** Until when the chain gets no new requests, because its requests stalled. */
    avoidedUntil: number;
}

/**
 * A chain of the own data centre is preferred until it has so many more requests in flight than another one. Half of
 * what a chain carries on a usual day: less would send bytes between data centres for nothing, more leaves one chain
 * at its limit beside idle ones when callers move.
 */
const localAdvantage = 20;
/**
 * What a hop between data centres counts for, in requests. Chosen: whole chains come first until they are nearly full, since
 * a request's activations take 25 ms (reckoned) of a pipe for each such hop.
 */
const crossingDisadvantage = 30;
/**
 * What each request beyond the room of a chain counts for, so that chains with room come first. Requests beyond it wait, or
 * push others out. On a played day with lost targets the served share of the worth rose from 0.774 to 0.893 with this and with
 * second copies of ranges that are short of room.
 */
const excessCost = 10;
/**
 * What each prompt of this process that waits on a chain counts for when a stream looks for a chain to go on: the streams of a
 * lost target come all at once, and a chain reads one prompt after the other.
 */
const readingCost = 10;
/**
 * What a chain counts for, in requests, for each time that its slowest target takes longer than it should. Chosen: one at
 * half its speed makes all requests on the chain wait, so it is avoided while another chain carries twice as many.
 */
const slownessDisadvantage = 40;

/**
 * Chains through targets of several data centres, for the seconds in which some have no whole chain of their own: one that
 * begins in each of these, so that they share the pipes, of those with the fewest hops from one to another. They leave the
 * targets of whole chains alone, which have no room to spare then. Where a target of each of three data centres was lost at
 * once, 180 requests were refused without them.
 */
function mixedChains(
    dataCentres: readonly string[],
    whole: readonly Chain[],
    targets: readonly Target[],
    engine: Engine,
    slowdown: Slowdown,
): Chain[] {
    const used = new Set(whole.flatMap(({ hops }) => hops.map(({ targetId }) => targetId)));
    const free = targets.filter(({ id }) => !used.has(id));
    const chains = dataCentres
        .filter(dataCentre => whole.every(chain => chain.dataCentre !== dataCentre))
        .flatMap(dataCentre => buildChain(dataCentre, free, engine, slowdown) ?? []);
    const fewest = Math.min(...chains.map(({ crossings }) => crossings));
    return chains.filter(({ crossings }) => crossings === fewest);
}

/**
 * Knows the best chain of each data centre for one service, and how many requests of this process are on it.
 */
export class ChainRouter {
    private chains: ChainLoad[] = [];
    private readonly loads = new Map<string, ChainLoad>();
    private builtFor = "";
    private readonly isOn: MechanismSwitch;

    constructor(private readonly options: ChainRouterOptions) {
        this.isOn = options.isOn ?? allMechanisms;
    }

    /**
     * Chooses the chain for a request.
     *
     * @param excluded - Keys of chains that failed the request.
     * @returns Undefined when no data centre has a chain that may be used.
     */
    choose(engine: Engine, excluded: ReadonlySet<string>): ChainLoad | undefined {
        const loads = this.current(engine).filter(({ chain }) => !excluded.has(chain.key));
        return cheapest(loads, load => this.cost(load));
    }

    /** The same, but none that is avoided. */
    chooseWell(engine: Engine, excluded: ReadonlySet<string>): ChainLoad | undefined {
        const now = this.options.clock.now();
        const well = this.current(engine).filter(load => load.avoidedUntil <= now);
        return cheapest(well.filter(({ chain }) => !excluded.has(chain.key)), load => this.cost(load));
    }

    /**
     * The best chain for a stream that broke off, which its caller should see go on within a fifth of a second: one on which
     * few of this process's prompts wait to be read, wherever it is.
     */
    chooseToResume(engine: Engine, excluded: ReadonlySet<string>): ChainLoad | undefined {
        const now = this.options.clock.now();
        const well = this.current(engine).filter(load => load.avoidedUntil <= now && !excluded.has(load.chain.key));
        return cheapest(well, load => this.isOn("resume-spread") ? this.resumeCost(load) : this.cost(load));
    }

    /** Whether a chain has room for one more request. */
    hasRoom({ chain }: ChainLoad): boolean {
        return this.requestsOn(chain) + 1 <= chain.room;
    }

    /** The chains as they are now, one that begins in each data centre at most. */
    current(engine: Engine): ChainLoad[] {
        const { directory, suspicions, paces } = this.options;
        const suspected = suspicions.list();
        const state = `${directory.revision} ${suspected.join()} ${paces.fingerprint} ${engine.layers}`;
        if (state !== this.builtFor) {
            this.builtFor = state;
            this.rebuild(engine, new Set(suspected));
        }
        return this.chains;
    }

    /** Requests of this process in flight, by the first target of their chain. */
    headLoads(): [string, number][] {
        return [...this.loads.values()]
            .filter(({ inFlight }) => inFlight > 0)
            .map(({ chain, inFlight }) => [chain.hops[0]?.targetId ?? "", inFlight]);
    }

    private rebuild(engine: Engine, suspected: ReadonlySet<string>): void {
        const { paces } = this.options;
        const slowdown: Slowdown = id => this.isOn("slow-targets") ? paces.slowdown(id) : 1;
        const targets = this.options.directory.readyTargets(this.options.service)
            .filter(({ id }) => !suspected.has(id));
        const dataCentres = [...new Set(targets.map(({ dataCentre }) => dataCentre))].sort();
        const local = dataCentres.flatMap(dataCentre => {
            const ofDataCentre = targets.filter(target => target.dataCentre === dataCentre);
            const chain = buildChain(dataCentre, ofDataCentre, engine, slowdown);
            return chain === undefined ? [] : [chain];
        });
        const mixed = this.isOn("mixed-chains") ? mixedChains(dataCentres, local, targets, engine, slowdown) : [];
        const chains = [...local, ...mixed];
        for (const [key, load] of this.loads) {
            if (load.inFlight === 0 && chains.every(chain => chain.key !== key)) {
                this.loads.delete(key);
            }
        }
        this.tellChanges(chains);
        this.chains = chains.map(chain => this.loadOf(chain));
    }

    private tellChanges(chains: readonly Chain[]): void {
        const before = new Map(this.chains.map(({ chain }) => [chain.dataCentre, chain]));
        const after = new Map(chains.map(chain => [chain.dataCentre, chain]));
        for (const dataCentre of new Set([...before.keys(), ...after.keys()])) {
            if (before.get(dataCentre)?.key !== after.get(dataCentre)?.key) {
                this.options.onChange?.(dataCentre, after.get(dataCentre));
            }
        }
    }

    private loadOf(chain: Chain): ChainLoad {
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
        };
        this.loads.set(chain.key, load);
        return load;
    }

    private cost({ chain }: ChainLoad): number {
        const distance = chain.dataCentre === this.options.dataCentre ? 0 : localAdvantage;
        return this.loadCost(chain) + distance;
    }

    private resumeCost({ chain, inFlight, streaming }: ChainLoad): number {
        return this.loadCost(chain) + (inFlight - streaming) * readingCost;
    }

    private loadCost(chain: Chain): number {
        const requests = this.requestsOn(chain);
        const excess = this.isOn("chain-room") ? Math.max(0, requests + 1 - chain.room) : 0;
        const slowness = (chain.slowdown - 1) * slownessDisadvantage;
        return requests + excess * excessCost + chain.crossings * crossingDisadvantage + slowness;
    }

    /** Requests of all gateways on chains that begin at the same target. */
    private requestsOn({ hops }: Chain): number {
        const head = hops[0]?.targetId ?? "";
        return this.headLoad(head) + this.options.peerLoad(head);
    }

    /** Requests of this process on all chains that begin at a target, also on those that were rebuilt meanwhile. */
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
        const itsCost = cost(load);
        if (itsCost < bestCost) {
            best = load;
            bestCost = itsCost;
        }
    }
    return best;
}
