import { ProxyTracerProvider, SpanKind, type Tracer } from "@opentelemetry/api";
import { type Claims } from "@waxwingspar/claims";
import { type Configuration } from "@waxwingspar/config";
import { GuardRecord } from "@waxwingspar/connections";
import { type HistoryRecorder } from "@waxwingspar/history";
import { createOrganisationLimits, type OrganisationLimits, type RetryBudgets, type Router } from "@waxwingspar/policy";
import { parentContext } from "@waxwingspar/telemetry";
import { type Address, type LinkPool } from "@waxwingspar/transport";
import { type Clock, failure, type Outcome, type Random, requestCodes, seededRandom, sleep } from "@waxwingspar/utils";
import { type Logger } from "pino";
import { Authenticator, type Caller } from "./callers/Authenticator.js";
import { limitRefusal } from "./callers/limitRefusal.js";
import { type EntryLimits, entryLimitsSchema } from "./EntryLimits.js";
import { type EntryMetrics, noMetrics } from "./EntryMetrics.js";
import { CallerServer } from "./http/CallerServer.js";
import { type Exchange } from "./http/Exchange.js";
import { ReplyMemory } from "./http/ReplyMemory.js";
import { type ClosedLink } from "./links/AgentLink.js";
import { AgentLinks } from "./links/AgentLinks.js";
import { type FindFinalOutcome } from "./links/ClaimBinding.js";
import { completionsRoute, type RouteServices } from "./models/completionsRoute.js";
import { modelsRoute } from "./models/modelsRoute.js";
import { OpenRequest, OpenRequests, stoppingFailure } from "./OpenRequests.js";
import { routingTargets } from "./routingTargets.js";
import { serviceRoute } from "./services/serviceRoute.js";
import { ModelVersions } from "./versions/ModelVersions.js";

/**
 * Options of an {@link Entry}.
 *
 * @public
 */
export interface EntryOptions {
    /** Address to listen on for callers; port 0 lets the operating system choose a port. */
    readonly listen: Address;
    /** Links to agents. The entry sets the message handler of each of its links. */
    readonly links: LinkPool;
    readonly configuration: Configuration;
    readonly router: Router;
    readonly retryBudgets: RetryBudgets;
    /** Enforces this entry's share of the organisations' limits; by default the entry enforces the full limits. */
    readonly organisationLimits?: OrganisationLimits;
    readonly claims: Claims;
    /** Looks up the final outcome of a claim whose runner is gone; without it the outcome counts as unknown. */
    readonly findFinalOutcome?: FindFinalOutcome;
    readonly clock: Clock;
    /** Randomness for dividing requests between versions of a model during a rollout; by default with a fixed seed. */
    readonly random?: Random;
    readonly logger: Logger;
    /** Records the history events of this process; by default they are dropped. */
    readonly history?: HistoryRecorder;
    /** Creates spans; by default nothing is traced. */
    readonly tracer?: Tracer;
    readonly metrics?: EntryMetrics;
    /** The organisation assigned to callers without a credential. By default such callers are refused. */
    readonly anonymousOrganisation?: string;
    /** Limits that differ from the defaults of {@link entryLimitsSchema}. */
    readonly limits?: Partial<EntryLimits>;
}

/** Route label in the metrics of requests that were refused before their route was known. */
const noRoute = "none";

/**
 * The entry: accepts HTTP requests from callers, sends them to targets that the router chooses, streams answers back
 * and resumes them after a failure. Its only state is that of the requests in progress.
 *
 * @example
 * ```ts
 * const entry = new Entry({ listen, links, configuration, router, retryBudgets, claims, clock, logger });
 * const address = await entry.start();
 * const interrupted = await entry.stop();
 * ```
 * @public
 */
export class Entry {
    private readonly options: EntryOptions;
    private readonly limits: EntryLimits;
    private readonly organisationLimits: OrganisationLimits;
    private readonly services: Omit<RouteServices, "retryBudget">;
    private readonly authenticator: Authenticator;
    private readonly server: CallerServer;
    private readonly open = new OpenRequests();
    private readonly removeHandler: () => void;
    private stopping: Promise<number> | undefined;
    private accepting = true;

    constructor(options: EntryOptions) {
        const { clock, configuration, listen, logger, router } = options;
        this.options = options;
        this.limits = entryLimitsSchema.parse(options.limits ?? {});
        this.organisationLimits = options.organisationLimits ?? createOrganisationLimits({ clock });
        const versions = new ModelVersions(configuration, options.random ?? seededRandom(1));
        this.services = {
            ...options,
            versions,
            links: new AgentLinks({
                ...options,
                onClosed: link => this.logClosed(link),
            }),
            history: options.history ?? (() => undefined),
            metrics: options.metrics ?? noMetrics,
            limits: this.limits,
            tracer: options.tracer ?? new ProxyTracerProvider().getTracer("waxwingspar.entry"),
            replies: new ReplyMemory(this.limits.maxReplyBuffer, this.limits.maxReplyMemory),
        };
        this.authenticator = new Authenticator(options);
        const guarded = new GuardRecord({
            clock,
            count: reason => this.services.metrics.guarded(reason),
            log: reasons => logger.warn({ reasons }, "entry: callers turned away for what they do"),
        });
        this.server = new CallerServer({
            listen,
            limits: this.limits,
            clock,
            handle: exchange => this.handle(exchange),
            onRefused: ({ code }, duration) => this.services.metrics.requestEnded(noRoute, code.number, duration, 0),
            onGuarded: reason => guarded.note(reason),
            onUnexpectedError: fault => logger.error({ fault }, "entry: a request handler threw an unexpected error"),
        });
        router.update(routingTargets(configuration));
        this.removeHandler = configuration.onChange(() => {
            router.update(routingTargets(configuration));
            versions.refresh();
        });
    }

    /** Requests in progress. */
    get openRequests(): number {
        return this.open.count;
    }

    /** Starts listening. @returns The address for callers, or the failure. */
    async start(): Promise<Outcome<Address>> {
        const address = await this.server.listen();
        if (address.isOk) {
            this.options.logger.info({ address: address.value }, "entry: accepting callers");
        }
        return address;
    }

    /**
     * Stops gracefully: answers "not ready", closes the listening socket after the lead time, lets the requests in
     * progress end, and then resolves. Calling it again returns the same promise.
     *
     * @returns The number of requests that were aborted at `stopLimit`; 0 if all ended in time.
     */
    stop(): Promise<number> {
        this.stopping ??= this.runStop();
        return this.stopping;
    }

    private async runStop(): Promise<number> {
        const { clock, logger } = this.options;
        const { stopLead, stopLimit } = this.limits;
        logger.info({ open: this.open.count }, "entry: stops");
        this.server.endConnections();
        if (stopLead > 0) {
            await sleep(clock, stopLead);
        }
        this.accepting = false;
        let interrupted = 0;
        await this.server.stop({ limit: stopLimit, endAll: () => interrupted = this.open.abortAll() });
        this.removeHandler();
        this.services.history({ event: "process.stopped", interrupted });
        logger.info({ interrupted }, "entry: stopped");
        return interrupted;
    }

    /** Logs a closed link as a warning, unless the closing was planned and interrupted no request. */
    private logClosed({ targets, open, announced }: ClosedLink): void {
        const { logger } = this.options;
        if (open === 0 && (announced || this.stopping !== undefined)) {
            logger.debug({ targets }, "entry: a link closed");
            return;
        }
        logger.warn({ targets, open }, "entry: a link was lost");
    }

    private async handle(exchange: Exchange): Promise<void> {
        switch (exchange.path) {
            case "/healthz":
                return exchange.sendJson(200, { healthy: true });
            case "/readyz":
                return this.sendReadiness(exchange);
        }
        if (!this.accepting) {
            return exchange.refuse(stoppingFailure());
        }
        if (this.options.configuration.revision === 0) {
            return exchange.refuse(
                failure(requestCodes.noCapacity, "this entry has not received the configuration yet"),
            );
        }
        if (this.open.count >= this.limits.maxOpenRequests) {
            return exchange.refuse(failure(requestCodes.overloaded, "this entry has too many requests in progress"));
        }
        const caller = this.authenticator.authenticate(exchange.header("authorization"));
        if (caller.isErr) {
            return exchange.refuse(caller.error, undefined, { "WWW-Authenticate": "Bearer" });
        }
        return this.route(exchange, caller.value);
    }

    private sendReadiness(exchange: Exchange): void {
        const ready = this.stopping === undefined && this.options.configuration.revision > 0;
        exchange.sendJson(ready ? 200 : 503, { ready });
    }

    private route(exchange: Exchange, caller: Caller): Promise<void> | void {
        switch (exchange.path) {
            case "/v1/chat/completions":
            case "/v1/completions":
                return this.allow(exchange, "POST") ? this.run(completionsRoute, exchange, caller) : undefined;
            case "/v1/models":
                return this.allow(exchange, "GET")
                    ? modelsRoute(this.options.configuration, exchange, caller)
                    : undefined;
        }
        if (exchange.path.startsWith("/services/")) {
            return this.run(serviceRoute, exchange, caller);
        }
        return exchange.refuse(failure(requestCodes.noSuchRoute, "no such path"));
    }

    /** Runs a request that counts towards its organisation's limits, or refuses it before its body is read. */
    private run(route: typeof completionsRoute, exchange: Exchange, caller: Caller): Promise<void> | void {
        const { organisation, spec } = caller;
        const open = this.trackRequest(exchange);
        const admitted = this.organisationLimits.admit(organisation, spec);
        if (admitted.isErr) {
            return exchange.refuse(limitRefusal(exchange, admitted.error));
        }
        open.onAnswered(admitted.value);
        const retryBudget = this.options.retryBudgets.of(organisation);
        return route({ ...this.services, retryBudget }, exchange, caller, open);
    }

    private allow(exchange: Exchange, method: string): boolean {
        if (exchange.method === method) {
            return true;
        }
        exchange.refuse(failure(requestCodes.noSuchRoute, `the path accepts only ${method}`), 405, { Allow: method });
        return false;
    }

    private trackRequest(exchange: Exchange): OpenRequest {
        const parent = parentContext(exchange.header("traceparent"));
        const span = this.services.tracer.startSpan("entry.request", {
            kind: SpanKind.SERVER,
            attributes: { "http.request.method": exchange.method, "url.path": exchange.path },
        }, parent);
        const open = new OpenRequest(span);
        this.open.add(open, exchange);
        return open;
    }
}
