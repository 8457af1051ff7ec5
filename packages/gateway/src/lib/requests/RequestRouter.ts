import { type GuardReason } from "@waxwingspar/connections";
import { type Clock, type Random, requestCodes, type ResultCode } from "@waxwingspar/utils";
import { type ServerResponse } from "node:http";
import { type Route } from "../configuration/Configuration.js";
import { type ConfigurationInForce } from "../configuration/ConfigurationInForce.js";
import { type ConfigurationLag } from "../configuration/ConfigurationLag.js";
import { type CrashProtection } from "../crashes/CrashProtection.js";
import { type Target } from "../directory/Target.js";
import { type SendPermits } from "../limits/SendPermits.js";
import { type TargetLimits } from "../limits/TargetLimits.js";
import { type Mechanism, type MechanismSwitch } from "../Mechanisms.js";
import { LineLimit } from "../observation/LineLimit.js";
import { type LoopMonitor } from "../observation/LoopMonitor.js";
import { type Observation } from "../observation/Observation.js";
import { type TargetReplies } from "../replies/TargetReplies.js";
import { type TargetRests } from "../rests/TargetRests.js";
import { type ReceivedRequest } from "../server/CallerServer.js";
import { type ServiceParts } from "../services/ServiceTable.js";
import { Exchange, type ExchangeOptions } from "../upstream/Exchange.js";
import { CallerExchange, writeRefusal } from "./CallerExchange.js";
import { CallerLinkMonitor } from "./CallerLinkMonitor.js";
import { type CallerRequest, type WireFormat } from "./messages.js";
import { PlainRun } from "./PlainRun.js";
import { type RequestContext } from "./RequestContext.js";
import { RequestGuard } from "./RequestGuard.js";
import { StreamRun } from "./StreamRun.js";

/** Options of {@link RequestRouter}. */
export interface RequestRouterOptions {
    readonly clock: Clock;
    readonly random: Random;
    readonly wire: WireFormat;
    readonly observation: Observation;
    readonly loop: Pick<LoopMonitor, "longestDelay">;
    readonly configuration: ConfigurationInForce;
    readonly findService: (name: string) => ServiceParts | undefined;
    /** Whether the configuration in force has been superseded for too long. */
    readonly lag: Pick<ConfigurationLag, "isTooLong">;
    /** Whether any peer is currently able to check credentials. */
    readonly hasConfirmedPeer: () => boolean;
    readonly crashes: Pick<CrashProtection, "detector" | "guard">;
    readonly replies: TargetReplies;
    readonly limits: TargetLimits;
    readonly rests: TargetRests;
    readonly bursts: ExchangeOptions["bursts"];
    readonly mayReceive: (target: Target) => boolean;
    readonly permits: SendPermits;
    readonly slots: RequestContext["slots"];
    /** Whether the routes of a service have different priorities, so that slots of its targets are granted by rank. */
    readonly hasRanks: (service: string) => boolean;
    readonly isOn: MechanismSwitch;
    /** Milliseconds since the list of targets was last confirmed. */
    readonly targetListAge: () => number;
}

/** `Retry-After` in milliseconds when this process has no usable configuration. */
const unreadyRetryAfter = 300;
/** `Retry-After` when this process is stopping or partitioned: another process can serve the retry immediately. */
const otherProcessRetryAfter = 0;
/**
 * `Retry-After` in milliseconds when no process can confirm credentials because the store is unavailable to all.
 * Outages of the store last some seconds longer than credentials are accepted without it.
 */
const unconfirmedRetryAfter = 1_000;
/**
 * Bounds of `Retry-After` in milliseconds when this process is short of processor time. Another process can serve the
 * retry; the spread keeps those refused together from returning together.
 */
const overloadRetryAfter = { least: 100, most: 400 };
/** Refusals that a client without a key can cause as often as it likes, so that their log lines are limited. */
const unprovenCodes: ReadonlySet<ResultCode> = new Set([
    requestCodes.noSuchRoute,
    requestCodes.unauthenticated,
    requestCodes.tooLarge,
    requestCodes.memoryUsedUp,
]);
interface UnreadRefusal {
    readonly code: ResultCode;
    readonly message: string;
    /** Whether the same request may be taken later. */
    readonly isPassing: boolean;
}

const noMemory = {
    code: requestCodes.memoryUsedUp,
    message: "this process has no memory left for the request",
    isPassing: true,
};
const tooLarge = { code: requestCodes.tooLarge, message: "the request is too large", isPassing: false };
/** How requests are refused that have not been read completely. */
const unreadRefusals: Readonly<Record<GuardReason, UnreadRefusal>> = {
    memory: noMemory,
    descriptors: noMemory,
    unread: noMemory,
    tooLarge,
    headersTooLarge: tooLarge,
    tooSlow: { code: requestCodes.tooSlow, message: "the request did not arrive in time", isPassing: true },
    malformed: { code: requestCodes.malformed, message: "the request is not valid HTTP", isPassing: false },
};
/**
 * Maximum milliseconds since the last confirmation of the configuration at which unknown routes and keys are denied.
 * With an older one, a newer configuration may contain them. The time covers two waits for changes and their replies.
 */
const maxDenialAge = 4_300;
/**
 * Maximum milliseconds until a connection to a target is established: a round trip takes 1.5 ms, and a lost packet is
 * retransmitted after 200 ms.
 */
const connectTimeout = 450;

/** Routes and authenticates each request by the configuration in force and starts the run for its service. */
export class RequestRouter {
    private readonly link: CallerLinkMonitor;
    private readonly refusalLines: LineLimit;
    /** The requests in progress, by their callers. */
    private readonly runs = new Map<CallerExchange, PlainRun | StreamRun>();

    constructor(private readonly options: RequestRouterOptions) {
        this.link = new CallerLinkMonitor(options);
        this.refusalLines = new LineLimit({ clock: options.clock, logger: options.observation.logs.requests });
    }

    /**
     * Refuses a request that arrived on an existing connection after the load balancer has removed this process. It
     * might not be completed before the process exits.
     */
    refuseStopping(response: ServerResponse): void {
        this.logRefusal(this.options.wire.readCallerRequest(response.req.headers), requestCodes.stopping, "stopping");
        writeRefusal(response, requestCodes.stopping, "this process is stopping", otherProcessRetryAfter);
    }

    /** Refuses a request that this process cannot begin in time, because it is short of processor time. */
    refuseOverloaded({ incoming, response }: ReceivedRequest, waited: number): void {
        const request = this.options.wire.readCallerRequest(incoming.headers);
        const retryAfter = this.drawOverloadRetryAfter();
        this.logRefusal(request, requestCodes.processOverloaded, "not begun in time", waited);
        writeRefusal(response, requestCodes.processOverloaded, "this process is short of processor time", retryAfter);
    }

    private drawOverloadRetryAfter(): number {
        const { least, most } = overloadRetryAfter;
        return least + this.options.random.next() * (most - least);
    }

    /** Refuses a request whose body has not been read completely. */
    refuseUnread(response: ServerResponse, reason: GuardReason): void {
        const request = this.options.wire.readCallerRequest(response.req.headers);
        const { code, message, isPassing } = unreadRefusals[reason];
        this.logRefusal(request, code, message);
        writeRefusal(response, code, message, isPassing ? this.drawOverloadRetryAfter() : undefined);
    }

    /** Records a request that was not begun because its caller had left. */
    noteLeft({ incoming }: ReceivedRequest): void {
        const { observation, loop, wire } = this.options;
        observation.metrics.callersLeft.add({ stage: "unread" });
        observation.logs.requests.debug({
            request: wire.readCallerRequest(incoming.headers).id,
            loopDelay: Math.round(loop.longestDelay),
        }, "caller had left");
    }

    /** Ends all requests in progress, each with what is known of its outcome. */
    endAll(reason: string): void {
        for (const [caller, run] of this.runs) {
            if (!caller.ended) {
                run.giveUp(reason);
            }
        }
    }

    /** Handles a request whose body has been read completely. If that fails before it runs, it is refused. */
    handle(received: ReceivedRequest): void {
        try {
            this.begin(received);
        }
        catch (error) {
            const { metrics, logs } = this.options.observation;
            metrics.requestErrors.add({ place: "begin" });
            logs.requests.error({ error: error instanceof Error ? error.stack : String(error) }, "error in a request");
            refuseAfterError(received.response);
        }
    }

    private begin(received: ReceivedRequest): void {
        const { clock, wire, configuration, observation } = this.options;
        const { incoming, response, presence, body } = received;
        const request = wire.readCallerRequest(incoming.headers);
        const arrivedAt = estimateArrival(received, request.timeLeft);
        observation.metrics.requestAge.record(clock.now() - arrivedAt, {});
        const refuse = (code: ResultCode, reason: string, retryAfter?: number) => {
            this.logRefusal(request, code, reason);
            writeRefusal(response, code, reason, retryAfter);
        };
        if (configuration.current === undefined) {
            refuse(requestCodes.noCapacity, "no configuration is known yet", unreadyRetryAfter);
            return;
        }
        if (this.options.lag.isTooLong) {
            const retryAfter = this.options.hasConfirmedPeer() ? otherProcessRetryAfter : unreadyRetryAfter;
            refuse(requestCodes.noCapacity, "a newer configuration is not in force yet", retryAfter);
            return;
        }
        const url = incoming.url ?? "/";
        const hostname = (incoming.headers.host ?? "").replace(/:\d+$/, "");
        const route = configuration.findRoute(hostname, pathOf(url));
        if (route === undefined) {
            this.deny(refuse, requestCodes.noSuchRoute, "no route matches");
            return;
        }
        const verdict = configuration.judgeCredential(route, request.key);
        if (verdict.kind === "unknown") {
            this.deny(refuse, requestCodes.unauthenticated, "the credential is not known");
            return;
        }
        if (verdict.kind === "unconfirmed") {
            const retryAfter = this.options.hasConfirmedPeer() ? otherProcessRetryAfter : unconfirmedRetryAfter;
            refuse(requestCodes.noCapacity, "credentials cannot be confirmed", retryAfter);
            return;
        }
        const caller = new CallerExchange({
            clock,
            incoming,
            response,
            presence,
            request,
            route,
            organisation: verdict.organisation,
            arrivedAt,
            body,
            observation,
            link: this.link,
            loop: this.options.loop,
            configurationVersion: configuration.current.version,
        });
        this.start(caller, route);
    }

    private start(caller: CallerExchange, route: Route): void {
        const service = this.chooseShare(route);
        const parts = this.options.findService(service);
        if (parts === undefined) {
            caller.refuse(requestCodes.noCapacity, "the service is not known", unreadyRetryAfter);
            return;
        }
        const {
            clock,
            wire,
            observation,
            crashes,
            replies,
            limits,
            rests,
            bursts,
            mayReceive,
            permits,
            slots,
            hasRanks,
            isOn,
            targetListAge,
        } = this.options;
        const { budget } = parts;
        const openExchange = (exchange: ExchangeOptions) => Exchange.open({ ...exchange, bursts });
        const context = {
            clock,
            wire,
            observation,
            budget,
            connectTimeout,
            crashes,
            replies,
            limits,
            rests,
            mayReceive,
            permits,
            slots,
            openExchange,
            isOn: (mechanism: Mechanism) => isOn(mechanism) && (mechanism !== "slot-admission" || hasRanks(service)),
            targetListAge,
        };
        const guard = new RequestGuard({ context, caller });
        const run = parts.chains === undefined
            ? new PlainRun(guard.context, caller, parts.picker)
            : new StreamRun(guard.context, caller, parts.chains);
        this.runs.set(caller, run);
        caller.onClose(() => this.runs.delete(caller));
        guard.start(() => run.start(), () => run.giveUp("an error in this process"));
    }

    /** Chooses a service at random, by the weights of the route's shares. */
    private chooseShare({ shares }: Route): string {
        const total = shares.reduce((sum, { weight }) => sum + weight, 0);
        let drawn = this.options.random.next() * total;
        for (const { service, weight } of shares) {
            drawn -= weight;
            if (drawn < 0) {
                return service;
            }
        }
        return shares.at(-1)?.service ?? "";
    }

    private deny(
        refuse: (code: ResultCode, reason: string, retryAfter?: number) => void,
        code: ResultCode,
        reason: string,
    ): void {
        if (this.options.configuration.confirmationAge > maxDenialAge) {
            refuse(requestCodes.noCapacity, "the configuration may be out of date", unreadyRetryAfter);
            return;
        }
        refuse(code, reason);
    }

    /** @param waited - Milliseconds for which the request waited to be begun. */
    private logRefusal(request: CallerRequest, code: ResultCode, reason: string, waited?: number): void {
        const { configuration, observation, loop } = this.options;
        observation.metrics.refusals.add({ code: `${code.number}` });
        if (unprovenCodes.has(code) && !this.refusalLines.take()) {
            return;
        }
        observation.logs.requests.info({
            request: request.id,
            configuration: configuration.current?.version,
            confirmed: Math.round(configuration.confirmationAge),
            outcome: `${code.name}: ${reason}`,
            status: code.status,
            waited: waited === undefined ? undefined : Math.round(waited),
            loopDelay: Math.round(loop.longestDelay),
        }, "request refused");
    }
}

/** Refuses a request that has not been sent to a target, or closes its connection if that is not possible. */
function refuseAfterError(response: ServerResponse): void {
    try {
        writeRefusal(response, requestCodes.noCapacity, "an error in this process", otherProcessRetryAfter);
    }
    catch {
        response.destroy();
    }
}

/**
 * Estimates when a request arrived. One that is read after the event loop was blocked may have come at any time while it
 * was, but not before its caller would have left.
 */
function estimateArrival({ readAt, maxUnread }: ReceivedRequest, timeLeft = Infinity): number {
    return readAt - Math.min(maxUnread, timeLeft) / 2;
}

function pathOf(url: string): string {
    const query = url.indexOf("?");
    return query === -1 ? url : url.slice(0, query);
}
