import { MetricRegistry } from "@waxwingspar/telemetry";
import { type Clock, type Random, seededRandom } from "@waxwingspar/utils";
import { type IncomingMessage } from "node:http";
import { type SlotGroup } from "../admission/SlotGroup.js";
import { ChainService } from "../chains/ChainService.js";
import { TargetPaces } from "../chains/TargetPaces.js";
import { TargetSuspicions } from "../chains/TargetSuspicions.js";
import { type Route } from "../configuration/Configuration.js";
import { CrashProtection } from "../crashes/CrashProtection.js";
import { TargetDirectory } from "../directory/TargetDirectory.js";
import { type PermitGroup, SendPermits } from "../limits/SendPermits.js";
import { TargetLimits } from "../limits/TargetLimits.js";
import { allMechanismsOn, type MechanismSwitch } from "../Mechanisms.js";
import { GatewayMetrics } from "../observation/Observation.js";
import { TargetReplies } from "../replies/TargetReplies.js";
import { CallerExchange } from "../requests/CallerExchange.js";
import { CallerLinkMonitor } from "../requests/CallerLinkMonitor.js";
import { type WireFormat } from "../requests/messages.js";
import { PlainRun } from "../requests/PlainRun.js";
import { type RequestContext } from "../requests/RequestContext.js";
import { RequestGuard, type RequestGuardOptions } from "../requests/RequestGuard.js";
import { RetryBudget } from "../requests/RetryBudget.js";
import { StreamRun } from "../requests/StreamRun.js";
import { TargetRests } from "../rests/TargetRests.js";
import { ServicePicker } from "../services/ServicePicker.js";
import { type Store } from "../store/Store.js";
import { healthyReport, silentLogs, testEngine } from "./fixtures.js";
import { SimulatedAnswer } from "./SimulatedAnswer.js";
import {
    lastEventHeader,
    leavingHeader,
    limitHeader,
    priorityHeader,
    refusalStatus,
    restHeader,
    type SimulatedTarget,
} from "./SimulatedTarget.js";
import { unlimitedSlots } from "./unlimitedSlots.js";

/** Options of {@link SimulatedRouter}. */
export interface SimulatedRouterOptions {
    readonly clock: Clock;
    readonly dataCentre: string;
    readonly store: Store;
    readonly targetAt: (port: number) => SimulatedTarget;
    /** Other gateways' requests in flight on chains whose head is the given target. */
    readonly peerLoad?: (headId: string) => number;
    /** Number of gateways that share the reserve of the retry budget. */
    readonly gateways?: () => number;
    /** Retries that all gateways together may send in ten seconds beyond a fifth of their requests. */
    readonly retryReserve?: number;
    /** The gateways that share the limits of targets; by default this one only. */
    readonly group?: PermitGroup;
    readonly random?: Random;
    readonly isOn?: MechanismSwitch;
    /** Grants the slots of targets; by default all that are requested. */
    readonly slots?: RequestContext["slots"];
    /** Creates what guards the callbacks of a request. */
    readonly createGuard?: (options: RequestGuardOptions) => RequestGuard;
}

/** Creates the group of a gateway without others. */
export function createGroupOfOne(dataCentre = ""): PermitGroup & SlotGroup {
    return {
        address: "",
        dataCentre,
        groupSize: 1,
        localSize: 1,
        localMembers: 1,
        issuerShare: 1,
        slotShare: 1,
        findIssuer: () => "",
        send: () => undefined,
    };
}

/** Name of the service without chains. */
export const plainService = "plain";

/** A route for streams that may be resumed on another chain. */
export const streamRoute: Route = {
    name: "chat",
    hostname: "a.example",
    pathPrefix: "/",
    kind: "stream",
    isResumable: true,
    shares: [{ service: "model", weight: 1 }],
    timeout: 20_000,
    latencyTarget: 500,
    priority: 1,
    maxAttempts: 3,
    isPublic: false,
};

/** A route for idempotent requests. */
export const plainRoute: Route = {
    ...streamRoute,
    name: "page",
    kind: "idempotent",
    isResumable: false,
    shares: [{ service: plainService, weight: 1 }],
    timeout: 1_500,
    latencyTarget: 250,
};

/** A wire format that recognises only the simulated targets' refusals. */
const wire: WireFormat = {
    readCallerRequest: () => {
        throw new Error("not used");
    },
    writeDispatchHeaders: (_, { priority, lastEventId }) => [
        ...priority === undefined ? [] : [priorityHeader, `${priority}`],
        ...lastEventId === undefined ? [] : [lastEventHeader, lastEventId],
    ],
    readReplyHead: (status, headers) => ({
        requestId: undefined,
        isSigned: true,
        neverExecuted: status === refusalStatus,
        faultyAddress: undefined,
        limit: typeof headers[limitHeader] === "string"
            ? { kind: "limited", rate: Number(headers[limitHeader]) }
            : { kind: "none" },
        rest: typeof headers[restHeader] === "string"
            ? { kind: "asked", duration: Number(headers[restHeader]) }
            : { kind: "none" },
        isLeaving: headers[leavingHeader] !== undefined,
        unknownHeaders: [],
    }),
};

/** Names the shared parts of a request's prompt, which stand in its body after a bar. */
export function partsOf(body: string): string[] {
    return body.split("|")[1]?.split(",") ?? [];
}

/** The modules of one gateway that decide where streams are sent, over simulated targets. */
export class SimulatedRouter {
    readonly directory: TargetDirectory;
    readonly suspicions: TargetSuspicions;
    readonly crashes: CrashProtection;
    readonly chains: ChainService;
    readonly picker: ServicePicker;
    readonly limits: TargetLimits;
    readonly rests: TargetRests;
    readonly permits: SendPermits;
    readonly context: Omit<RequestContext, "guard">;
    readonly metrics: GatewayMetrics;

    constructor(private readonly options: SimulatedRouterOptions) {
        const { clock, dataCentre, store, targetAt, peerLoad = () => 0, gateways = () => 1, retryReserve } = options;
        this.metrics = new GatewayMetrics(new MetricRegistry(clock));
        const observation = { logs: silentLogs(), metrics: this.metrics };
        this.limits = new TargetLimits({ clock, observation });
        const { group = createGroupOfOne(), random = seededRandom(1) } = options;
        this.rests = new TargetRests({ clock, random, observation });
        this.permits = new SendPermits({ clock, random, limits: this.limits, group, observation });
        this.suspicions = new TargetSuspicions(clock);
        this.directory = new TargetDirectory({
            clock,
            onChange: change => this.crashes.guard.handleTargetChange(change),
        });
        this.crashes = new CrashProtection({
            clock,
            store,
            directory: this.directory,
            refusesConnections: ({ port }) => Promise.resolve(targetAt(port).isDown),
            observation,
            gateways,
        });
        this.crashes.records.start();
        this.chains = new ChainService({
            clock,
            service: "model",
            dataCentre,
            engine: testEngine,
            directory: this.directory,
            suspicions: this.suspicions,
            paces: new TargetPaces(clock),
            rests: this.rests,
            peerLoad,
            engines: {
                fetchReport: ({ port }) => Promise.resolve(targetAt(port).givesReports ? healthyReport : undefined),
                place: () => Promise.resolve({ kind: "held" }),
            },
            observation,
        });
        this.picker = new ServicePicker({
            clock,
            random: seededRandom(2),
            service: plainService,
            dataCentre,
            directory: this.directory,
        });
        this.context = {
            clock,
            wire,
            observation,
            budget: new RetryBudget({ clock, window: 10_000, share: 0.2, reserve: retryReserve ?? 202, gateways }),
            connectTimeout: 450,
            crashes: this.crashes,
            replies: new TargetReplies({
                limits: this.limits,
                rests: this.rests,
                directory: this.directory,
                observation,
            }),
            limits: this.limits,
            rests: this.rests,
            mayReceive: target => this.directory.mayReceive(target),
            permits: this.permits,
            slots: options.slots ?? unlimitedSlots,
            openExchange: exchange => targetAt(exchange.port).open(exchange),
            isOn: options.isOn ?? allMechanismsOn,
            targetListAge: () => this.directory.age,
        };
    }

    /** Starts a caller's stream. */
    start(body: string, route = streamRoute): SimulatedAnswer {
        const { caller, answer } = this.receive(body, route);
        this.run(caller, context => new StreamRun(context, caller, this.chains));
        return answer;
    }

    /** Starts a caller's request to the plain service. */
    startPlain(body: string, route = plainRoute): SimulatedAnswer {
        const { caller, answer } = this.receive(body, route);
        this.run(caller, context => new PlainRun(context, caller, this.picker));
        return answer;
    }

    private run(caller: CallerExchange, create: (context: RequestContext) => PlainRun | StreamRun): void {
        const { context, options: { createGuard = options => new RequestGuard(options) } } = this;
        const guard = createGuard({ context, caller });
        const run = create(guard.context);
        guard.start(() => run.start(), () => run.giveUp("an error in this process"));
    }

    private receive(
        body: string,
        route: Route,
    ): { readonly caller: CallerExchange; readonly answer: SimulatedAnswer; } {
        const { clock } = this.options;
        const { observation } = this.context;
        const answer = new SimulatedAnswer(clock);
        const incoming = { method: "POST", url: "/chat", headers: { host: "a.example" }, rawHeaders: [] };
        const caller = new CallerExchange({
            clock,
            incoming: incoming as unknown as IncomingMessage,
            response: answer.response,
            presence: answer.presence,
            request: {
                id: undefined,
                timeLeft: route.timeout,
                key: undefined,
                lastEventId: undefined,
                tokens: undefined,
                sharedParts: partsOf(body),
                answerLengthHint: undefined,
            },
            route,
            organisation: undefined,
            arrivedAt: clock.now(),
            body: Buffer.from(body),
            observation,
            link: new CallerLinkMonitor({ clock, observation }),
            loop: { longestDelay: 0 },
            configurationVersion: 1,
        });
        return { caller, answer };
    }
}
