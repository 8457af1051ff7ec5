import { type Clock, ManualClock, type Random, seededRandom } from "@waxwingspar/utils";
import { type Route } from "../configuration/Configuration.js";
import { type MechanismSwitch } from "../Mechanisms.js";
import { type RequestContext } from "../requests/RequestContext.js";
import { testTarget } from "./fixtures.js";
import { type SimulatedAnswer } from "./SimulatedAnswer.js";
import { SimulatedRouter, type SimulatedRouterOptions, streamRoute } from "./SimulatedRouter.js";
import { SimulatedStore } from "./SimulatedStore.js";
import { simulatedEvents, SimulatedTarget } from "./SimulatedTarget.js";

/** Options of {@link StreamSite}. */
export interface StreamSiteOptions {
    readonly seed?: number;
    /** Number of chains, each of four targets in its own data centre. */
    readonly chains?: number;
    /** Number of targets that a request may be sent to. */
    readonly maxAttempts?: number;
    /** Whether a stream may be resumed on another chain. */
    readonly isResumable?: boolean;
    /** Whether a target continues an answer after the caller's last event, instead of repeating it from the start. */
    readonly isResuming?: boolean;
    /** Retries that the retry budget allows beyond a fifth of the requests. */
    readonly retryReserve?: number;
    /** Creates the source of slots of heads; by default all that are requested are granted. */
    readonly createSlots?: (clock: Clock) => RequestContext["slots"];
    /** The kind of accelerator of the targets, which determines the room of chains. */
    readonly accelerator?: string;
    readonly isOn?: MechanismSwitch;
    readonly createGuard?: SimulatedRouterOptions["createGuard"];
    /** Milliseconds until the deadline of a stream. */
    readonly timeout?: number;
    /** Called when a request reaches a target, with its body. */
    readonly onArrival?: (body: string) => void;
}

const targetsPerChain = 4;
const layersPerTarget = 20;

/** A simulated gateway with chains of targets that may fall silent or refuse requests but never crash. */
export class StreamSite {
    readonly clock = new ManualClock(1_000_000);
    readonly random: Random;
    /** The first target of each chain. The chain of the gateway's own data centre comes first. */
    readonly heads: SimulatedTarget[] = [];
    readonly answers: SimulatedAnswer[] = [];
    readonly router: SimulatedRouter;
    /** Number of times that a request reached a target, retries included. */
    arrivals = 0;
    /** The priorities that targets were told, in order of arrival. */
    readonly priorities: (number | undefined)[] = [];
    private readonly byPort = new Map<number, SimulatedTarget>();
    private readonly route: Route;

    constructor(private readonly options: StreamSiteOptions = {}) {
        const { seed = 1, chains = 2, maxAttempts = 2, isResumable = true, retryReserve, createSlots, isOn } = options;
        this.random = seededRandom(seed);
        this.route = { ...streamRoute, maxAttempts, isResumable, timeout: options.timeout ?? streamRoute.timeout };
        this.router = new SimulatedRouter({
            clock: this.clock,
            dataCentre: "dc-0",
            store: new SimulatedStore(this.clock),
            targetAt: port => this.targetAt(port),
            retryReserve,
            slots: createSlots?.(this.clock),
            isOn,
            createGuard: options.createGuard,
        });
        for (let chain = 0; chain < chains; chain++) {
            this.heads.push(this.addTarget(chain, 0));
            for (let part = 1; part < targetsPerChain; part++) {
                this.addTarget(chain, part);
            }
        }
    }

    get targets(): SimulatedTarget[] {
        return [...this.byPort.values()];
    }

    /** Starts a caller's stream. */
    open(): void {
        this.answers.push(this.router.start(`question ${this.answers.length}`, this.route));
    }

    /** Answers that are neither complete nor refused as not run. */
    get cutOff(): SimulatedAnswer[] {
        return this.answers.filter(answer => !isServed(answer) && !isRefusedAsNotRun(answer));
    }

    get served(): SimulatedAnswer[] {
        return this.answers.filter(isServed);
    }

    private addTarget(chain: number, part: number): SimulatedTarget {
        const layers = { first: part * layersPerTarget, end: (part + 1) * layersPerTarget };
        const target = testTarget(
            `t${chain * targetsPerChain + part}`,
            this.options.accelerator ?? "large",
            layers,
            `dc-${chain}`,
        );
        const simulated = new SimulatedTarget({
            clock: this.clock,
            random: this.random,
            target,
            crashesUnder: () => false,
            isResuming: this.options.isResuming,
            onArrival: (body, priority) => {
                this.options.onArrival?.(body);
                this.arrivals++;
                this.priorities.push(priority);
            },
            onCrash: () => undefined,
        });
        this.byPort.set(target.port, simulated);
        this.router.directory.put(target);
        return simulated;
    }

    private targetAt(port: number): SimulatedTarget {
        const target = this.byPort.get(port);
        if (target === undefined) {
            throw new Error(`no target at port ${port}`);
        }
        return target;
    }
}

const completeBody = Array.from({ length: simulatedEvents }, (_, id) => `id: ${id}\ndata: x\n\n`).join("");

/** Whether every event arrived exactly once and in order. */
function isServed({ statusCode, isComplete, body }: SimulatedAnswer): boolean {
    return statusCode === 200 && isComplete && body === completeBody;
}

function isRefusedAsNotRun({ statusCode, hasRetryAfter }: SimulatedAnswer): boolean {
    return statusCode === 503 && hasRetryAfter;
}
