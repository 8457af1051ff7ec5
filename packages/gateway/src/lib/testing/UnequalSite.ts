import { ManualClock, type Random, seededRandom } from "@waxwingspar/utils";
import { type ChainLoad, ChainRouter } from "../chains/ChainRouter.js";
import { TargetPaces } from "../chains/TargetPaces.js";
import { TargetSuspicions } from "../chains/TargetSuspicions.js";
import { type Engine } from "../configuration/Configuration.js";
import { TargetDirectory } from "../directory/TargetDirectory.js";
import { type MechanismSwitch } from "../Mechanisms.js";
import { noRests, testTarget } from "./fixtures.js";
import { SimulatedChain, type SimulatedStream } from "./SimulatedChain.js";
import { timedTestEngine } from "./timedFixtures.js";

/** Options of {@link playUnequalSite}. */
export interface UnequalSiteOptions {
    readonly seed: number;
    /** Requests a second of all callers. */
    readonly rate: number;
    readonly isOn?: MechanismSwitch;
    readonly engine?: Engine;
    /** Milliseconds. */
    readonly duration?: number;
    /** Part of the mean by which the demand of a data centre rises and falls. */
    readonly wave?: number;
    /** Milliseconds. */
    readonly wavePeriod?: number;
    readonly gateways?: number;
    /** Requests that a chain queues beyond its slots; with 0, admission is as accurate as if it knew every load. */
    readonly maxQueue?: number;
    /** Factor of a chain's intervals that no prediction knows, by data centre. */
    readonly hiddenFactors?: Readonly<Record<string, number>>;
    /** Share of the demand by data centre. */
    readonly demand?: Readonly<Record<string, number>>;
}

/** What the callers of a site got, and how the loads of its chains moved. */
export interface UnequalSiteResult {
    /** Share of the requests whose first event came within 500 ms and no other after more than 250 ms. */
    readonly inTime: number;
    /** The same of prompts of at least 3,000 tokens. */
    readonly longInTime: number;
    readonly refused: number;
    /** Share of the requests that went to another data centre. */
    readonly remote: number;
    /** Milliseconds to the first event. */
    readonly firstEvent: { readonly median: number; readonly p95: number; };
    readonly longFirstEvent: { readonly median: number; readonly p95: number; };
    /** Mean milliseconds from the arrival to the last event. */
    readonly meanDuration: number;
    /** Mean load by chain. */
    readonly loads: Readonly<Record<string, number>>;
    /** Mean difference of the chains' loads from their average over 4 s, in requests. */
    readonly swing: number;
    /** Part of the sends to each data centre that came from others. */
    readonly fromOthers: Readonly<Record<string, number>>;
}

interface SimulatedRequest {
    readonly now: number;
    readonly prompt: number;
    readonly events: number;
}

interface Gateway {
    readonly dataCentre: string;
    readonly router: ChainRouter;
    /** Its loads as reported, newest first. */
    readonly reports: Map<string, number>[];
}

const tick = 10;
const reportInterval = 200;
/** Number of reports by which views are old: 0.8 to 1.0 s. */
const reportLag = 4;
const warmUp = 5_000;
const latencyTarget = 500;
const longPrompt = 3_000;
const maxEvents = 150;
/** As in `ChainService`. */
const intervalWeight = 0.05;
const millisecondsPerSecond = 1_000;
const swingWindow = 40;
const sampleInterval = 100;

/** The layers of each hop by data centre: a fast chain of 3 hops, a mixed one of 11, and a slow one of 14. */
const layouts: Readonly<Record<string, readonly (readonly [string, number])[]>> = {
    x: [["a100", 27], ["a100", 27], ["a100", 26]],
    y: [["a100", 28], ...[6, 6, 6, 6, 6, 5, 5, 5].map(layers => ["a10", layers] as const), ["l4", 4], ["l4", 3]],
    z: [
        ...Array.from({ length: 7 }, () => ["l4", 5] as const),
        ...[7, 7, 7, 6, 6, 6, 6].map(layers => ["a10", layers] as const),
    ],
};

/** Creates the targets of all data centres. */
export function unequalDirectory(clock: ManualClock): TargetDirectory {
    const directory = new TargetDirectory({ clock });
    let port = 0;
    for (const [dataCentre, layout] of Object.entries(layouts)) {
        let first = 0;
        for (const [accelerator, layers] of layout) {
            directory.put(testTarget(`t${++port}`, accelerator, { first, end: first + layers }, dataCentre));
            first += layers;
        }
    }
    return directory;
}

/** Plays gateways whose callers come in waves, with views of each other's loads that are 0.9 s old. */
export function playUnequalSite(options: UnequalSiteOptions): UnequalSiteResult {
    return new UnequalSite(options).play();
}

class UnequalSite {
    private readonly clock = new ManualClock();
    private readonly random: Random;
    private readonly directory = unequalDirectory(this.clock);
    private readonly engine: Engine;
    private readonly gateways: Gateway[];
    private readonly chains = new Map<string, SimulatedChain>();
    private readonly streams: SimulatedStream[] = [];
    private readonly samples = new Map<string, number[]>();
    private refused = 0;
    private totalReports = new Map<string, number>();

    constructor(private readonly options: UnequalSiteOptions) {
        this.random = seededRandom(options.seed);
        this.engine = options.engine ?? timedTestEngine;
        const names = Object.keys(layouts);
        const { gateways: count = 43 } = options;
        this.gateways = Array.from({ length: count }, (_, i) => this.createGateway(names[i % names.length] ?? ""));
    }

    play(): UnequalSiteResult {
        const { duration = 39_000 } = this.options;
        for (let now = 0; now < duration; now += tick) {
            if (now % reportInterval === 0) {
                this.report();
            }
            this.arrive(now);
            this.chains.forEach(chain => chain.step(now));
            if (now % sampleInterval === 0 && now >= warmUp) {
                this.sample();
            }
            this.clock.advance(tick);
        }
        return this.result();
    }

    private createGateway(dataCentre: string): Gateway {
        const { clock, directory } = this;
        const reports: Map<string, number>[] = [];
        const router = new ChainRouter({
            clock,
            service: "model",
            dataCentre,
            directory,
            suspicions: new TargetSuspicions(clock),
            paces: new TargetPaces(clock),
            rests: noRests,
            peerLoad: head => (this.totalReports.get(head) ?? 0) - (reports[reportLag]?.get(head) ?? 0),
            maxEventInterval: () => 250,
            isOn: this.options.isOn,
        });
        return { dataCentre, router, reports };
    }

    private report(): void {
        this.totalReports = new Map();
        for (const { router, reports } of this.gateways) {
            reports.unshift(new Map(router.headLoads()));
            reports.splice(reportLag + 1);
            reports[reportLag]?.forEach((count, head) =>
                this.totalReports.set(head, (this.totalReports.get(head) ?? 0) + count)
            );
        }
    }

    private arrive(now: number): void {
        const { rate, wave = 0.55, wavePeriod = 17_000, demand = { x: 1 / 3, y: 1 / 3, z: 1 / 3 } } = this.options;
        Object.entries(demand).forEach(([dataCentre, share], index) => {
            const phase = now / wavePeriod + index / Object.keys(demand).length;
            const mean = rate * share * (1 + wave * Math.sin(2 * Math.PI * phase)) * tick / millisecondsPerSecond;
            // A Poisson process: the number of exponential gaps that fit into the tick.
            for (let at = this.gap(); at < mean; at += this.gap()) {
                this.send(now, dataCentre);
            }
        });
    }

    private gap(): number {
        return -Math.log(1 - this.random.next());
    }

    private send(now: number, dataCentre: string): void {
        const local = this.gateways.filter(gateway => gateway.dataCentre === dataCentre);
        const gateway = local[this.random.below(local.length)];
        // Nine of ten prompts have 100 to 700 tokens, the others 2,000 to 6,000.
        const prompt = this.random.below(10) === 0 ? 2_000 + this.random.below(4_000) : 100 + this.random.below(600);
        const events = Math.max(2, Math.round(44 * this.gap()));
        if (gateway === undefined) {
            return;
        }
        const isRefused = !this.sendFrom(gateway, { now, prompt, events: Math.min(events, maxEvents) });
        this.refused += isRefused && now >= warmUp ? 1 : 0;
    }

    /** Sends a request to one chain after the other until one takes it. Returns false if none does. */
    private sendFrom(gateway: Gateway, request: SimulatedRequest): boolean {
        const excluded = new Set<string>();
        for (;;) {
            const load = gateway.router.choose(this.engine, excluded, request.prompt);
            if (load === undefined || this.sendOver(gateway, load, request)) {
                return load !== undefined;
            }
            excluded.add(load.chain.key);
        }
    }

    private sendOver({ dataCentre, router }: Gateway, load: ChainLoad, request: SimulatedRequest): boolean {
        const { now, prompt, events } = request;
        const expected = router.timed.expectFirstEvent(this.engine, load, prompt);
        const stream: SimulatedStream = {
            arrivedAt: now,
            prompt,
            events,
            from: dataCentre,
            to: load.chain.dataCentre,
            onFirst: taken => {
                load.streaming++;
                if (expected !== undefined) {
                    router.timed.noteFirstEvent(load, taken, expected);
                }
            },
            onInterval: interval => {
                const known = load.eventInterval ?? interval;
                load.eventInterval = known + (interval - known) * intervalWeight;
                router.timed.noteInterval(this.engine, load);
            },
            onEnd: () => {
                load.inFlight--;
                load.streaming--;
                router.timed.noteEnd(load.chain);
            },
        };
        if (!this.chainOf(load).offer(stream)) {
            return false;
        }
        load.inFlight++;
        router.noteSend(this.engine, load);
        if (now >= warmUp) {
            this.streams.push(stream);
        }
        return true;
    }

    private chainOf({ chain }: ChainLoad): SimulatedChain {
        const known = this.chains.get(chain.key);
        if (known !== undefined) {
            return known;
        }
        const hops = chain.hops.map(({ targetId, layers }) => ({
            accelerator: this.directory.get(targetId)?.accelerator ?? "",
            layers: layers.end - layers.first,
        }));
        const created = new SimulatedChain({
            dataCentre: chain.dataCentre,
            hops,
            random: this.random,
            maxQueue: this.options.maxQueue,
            hiddenFactor: this.options.hiddenFactors?.[chain.dataCentre],
        });
        this.chains.set(chain.key, created);
        return created;
    }

    private sample(): void {
        for (const chain of this.chains.values()) {
            const known = this.samples.get(chain.dataCentre) ?? [];
            known.push(chain.load);
            this.samples.set(chain.dataCentre, known);
        }
    }

    private result(): UnequalSiteResult {
        // Streams that have not ended count by what they got.
        const begun = this.streams.filter(({ firstTaken }) => firstTaken !== undefined);
        const isInTime = ({ firstTaken = Infinity, longest = 0 }: SimulatedStream) =>
            firstTaken <= latencyTarget && longest <= 250;
        const long = this.streams.filter(({ prompt }) => prompt >= longPrompt);
        const ended = begun.filter(({ endedAt }) => endedAt !== undefined);
        const all = this.streams.length + this.refused;
        const series = [...this.samples];
        const names = Object.keys(layouts);
        return {
            inTime: this.streams.filter(isInTime).length / all,
            longInTime: long.filter(isInTime).length / Math.max(1, long.length),
            refused: this.refused / all,
            remote: this.streams.filter(({ from, to }) => from !== to).length / all,
            firstEvent: quantiles(begun),
            longFirstEvent: quantiles(long),
            meanDuration: mean(ended.map(({ arrivedAt, endedAt = 0 }) => endedAt - arrivedAt)),
            loads: Object.fromEntries(series.map(([name, loads]) => [name, mean(loads)])),
            swing: mean(series.flatMap(([, loads]) => deviations(loads))),
            fromOthers: Object.fromEntries(names.map(name => {
                const here = this.streams.filter(({ to }) => to === name);
                return [name, here.filter(({ from }) => from !== name).length / Math.max(1, here.length)];
            })),
        };
    }
}

function quantiles(streams: readonly SimulatedStream[]): { median: number; p95: number; } {
    const taken = streams.map(({ firstTaken = Infinity }) => firstTaken).sort((a, b) => a - b);
    const at = (share: number) => taken[Math.floor(taken.length * share)] ?? NaN;
    return { median: at(0.5), p95: at(0.95) };
}

function mean(values: readonly number[]): number {
    return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
}

/** Returns the absolute differences of a series from its moving average. */
function deviations(values: readonly number[]): number[] {
    return values.slice(swingWindow / 2, -swingWindow / 2).map((value, index) =>
        Math.abs(value - mean(values.slice(index, index + swingWindow)))
    );
}
