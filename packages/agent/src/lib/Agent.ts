import { type Tracer } from "@opentelemetry/api";
import { reportMethods } from "@waxwingspar/claims";
import { type Configuration } from "@waxwingspar/config";
import { type Engine, type Order } from "@waxwingspar/engine";
import { type HistoryRecorder } from "@waxwingspar/history";
import { type WorkQueue } from "@waxwingspar/policy";
import {
    type CallMessage,
    type Hello,
    type Link,
    type LinkPool,
    type Message,
    type RpcMethod,
} from "@waxwingspar/transport";
import { type Clock, type Failure, type Outcome } from "@waxwingspar/utils";
import { type Logger } from "pino";
import { Result } from "true-myth";
import { type AgentContext, type AgentMetrics, type ModelVersion } from "./AgentContext.js";
import { type AgentSettings } from "./AgentSettings.js";
import { AgentClaims, type WriteFinalClaims } from "./claims/AgentClaims.js";
import { OrderGate, orderMethodName } from "./control/OrderGate.js";
import { createContext } from "./createContext.js";
import { Drain } from "./Drain.js";
import { closedFailure, noService, toWire } from "./faults.js";
import { DuplicateAttempt } from "./head/DuplicateAttempt.js";
import { HeadAttempt } from "./head/HeadAttempt.js";
import { HeadRequests } from "./head/HeadRequests.js";
import { isAcceptedFrom } from "./isAcceptedFrom.js";
import { createExportMethod, exportMethodName } from "./kv/exportMethod.js";
import { type CreditMessage } from "./messages.js";
import { type ServiceAddress, ServiceProxy } from "./service/ServiceProxy.js";
import { StageAttempt } from "./stage/StageAttempt.js";
import { StageRequests } from "./stage/StageRequests.js";
import { createStateMethod, stateMethodName } from "./stage/stateMethod.js";

/**
 * Options of {@link Agent}.
 *
 * @public
 */
export interface AgentOptions {
    /** The target that the agent controls. */
    readonly target: string;
    /** The handshake data of this agent; claims are bound to its incarnation. */
    readonly hello: Hello;
    /** Opens links to other agents. Must not be shared with another agent. */
    readonly pool: LinkPool;
    readonly engine: Engine;
    readonly configuration: Configuration;
    /** The work queue of the target, shared by model requests and plain calls. */
    readonly queue: WorkQueue;
    /** The plain service that the agent proxies, if there is one. */
    readonly service?: ServiceAddress;
    /** Reads the highest fence ever issued for this target from the store. By default, no fence has been issued. */
    readonly readFence?: () => Promise<Outcome<number>>;
    /** Stores the final state of the claims, for duplicates that arrive after the agent has left. Lost by default. */
    readonly writeFinalClaims?: WriteFinalClaims;
    readonly record?: HistoryRecorder;
    readonly clock?: Clock;
    readonly log?: Logger;
    readonly tracer?: Tracer;
    readonly metrics?: AgentMetrics;
    readonly settings?: Partial<AgentSettings>;
}

/** The result of {@link Agent.leave}. @public */
export interface DrainResult {
    /** Number of requests that were interrupted; 0 unless the drain limit was reached. */
    readonly interrupted: number;
}

/**
 * The agent of a target. All work and all orders for the target pass through it.
 *
 * @example
 * ```ts
 * const pool = new TcpLinkPool({ hello, credentials, methods: createDeferredMethods(() => agent) });
 * const agent = new Agent({ target: "t1", hello, pool, engine, configuration, queue });
 * const server = new LinkServer({ hello, credentials, methods: agent.methods, onLink: link => agent.accept(link) });
 * await agent.start();
 * // later
 * const { interrupted } = await agent.leave();
 * ```
 * @public
 */
export class Agent {
    /** The JSON-RPC methods that the agent serves: `claims.report`, `kv.export`, `order.apply` and `stage.state`. */
    readonly methods: Readonly<Record<string, RpcMethod>>;
    private readonly context: AgentContext;
    private readonly heads: HeadRequests;
    private readonly stages: StageRequests;
    private readonly calls: ServiceProxy | undefined;
    private readonly claims: AgentClaims;
    private readonly gate: OrderGate;
    private readonly stopWatching: () => void;
    private closed = false;
    private drainResult: Promise<DrainResult> | undefined;

    constructor(options: AgentOptions) {
        this.context = createContext(options);
        const { context } = this;
        this.claims = new AgentClaims(context, options.hello.incarnation, options.writeFinalClaims);
        const { answers, calls } = this.claims;
        this.heads = new HeadRequests(context, answers);
        this.stages = new StageRequests(context);
        this.calls = options.service === undefined ? undefined : new ServiceProxy(context, calls, options.service);
        this.gate = new OrderGate({
            target: context.target,
            engine: context.engine,
            clock: context.clock,
            record: context.record,
            readFence: options.readFence ?? (() => Promise.resolve(Result.ok(0))),
            retryDelay: 1000,
            log: context.log,
            inUse: () => this.inUse(),
            applied: () => context.held.refresh(),
        });
        this.methods = {
            ...reportMethods(request => this.claims.report(request)),
            [exportMethodName]: createExportMethod(context.sessions),
            [orderMethodName]: this.gate.createMethod(),
            [stateMethodName]: createStateMethod(context.table),
        };
        options.pool.onOpen(link => this.accept(link));
        this.stopWatching = context.configuration.onChange(() => this.applyShares());
    }

    /** True once the agent refuses new work. */
    get leaving(): boolean {
        return this.context.load.leaving;
    }

    /** Number of requests that would be interrupted if the agent closed now. */
    get activeRequests(): number {
        return this.context.table.open.filter(attempt => attempt.active).length + (this.calls?.active ?? 0);
    }

    /** Queries the engine for the models it holds, and starts to read the highest fence from the store. */
    async start(): Promise<void> {
        this.applyShares();
        void this.gate.start();
        this.context.cache.start();
        await this.context.held.refresh();
    }

    /** Handles the messages of a link that a peer has opened. */
    accept(link: Link): void {
        this.context.links.add(link);
        link.onMessage(message => this.receive(message, link));
        if (this.leaving) {
            link.send({ type: "load", load: this.context.load.report() });
        }
    }

    /** Executes an order unless its fence is stale. */
    apply(order: Order): Promise<Outcome<void>> {
        return this.gate.apply(order);
    }

    /** Records a fence of the target; from then on, orders with a lower fence are refused. */
    noteFence(fence: number): Outcome<void> {
        return this.gate.noteFence(fence);
    }

    /** The model versions that running or queued requests use. */
    inUse(): ModelVersion[] {
        const used = new Map<string, ModelVersion>();
        for (const { uses } of this.context.table.open) {
            if (uses !== undefined) {
                const { model, version } = uses;
                used.set(`${model}\n${version}`, { model, version });
            }
        }
        return [...used.values()];
    }

    /**
     * Drains and closes the agent: announces on every link that it leaves, refuses new work as not run, waits for
     * running requests, hands over those that take too long, and closes.
     *
     * @returns The number of interrupted requests, which is 0 unless the drain limit was reached.
     */
    leave(): Promise<DrainResult> {
        this.drainResult ??= this.leaveOnce();
        return this.drainResult;
    }

    private async leaveOnce(): Promise<DrainResult> {
        const { log, load, record, target, queue, settings, sessions, clock } = this.context;
        load.leave();
        log.info({ target, active: this.activeRequests }, "agent: leaving");
        record({ event: "target.leaving", target, bound: settings.leavingBound });
        queue.close();
        const drain = new Drain({
            clock,
            active: () => this.activeRequests,
            handOver: () => this.context.table.open.forEach(attempt => attempt.handOver()),
            exporting: () => sessions.size > 0,
            linger: settings.leaveLinger,
            handOverAfter: settings.handOverAfter,
            limit: settings.drainLimit,
        });
        const interrupted = await drain.wait();
        await this.close();
        // Only after closing, when every request is refused: a claim that is not listed can then never run here.
        await this.claims.persist();
        record({ event: "process.stopped", interrupted });
        log.info({ target, interrupted }, "agent: stopped");
        return { interrupted };
    }

    /** Closes immediately. Running requests are interrupted, and reported as failed on links that are still open. */
    async close(): Promise<void> {
        if (this.closed) {
            return;
        }
        this.closed = true;
        const { table, load, cache, sessions } = this.context;
        cache.stop();
        table.open.forEach(attempt => attempt.abandon());
        this.gate.stop();
        load.stop();
        this.stopWatching();
        sessions.dropRetired();
        await this.calls?.close();
    }

    private receive(message: Message, link: Link): void {
        if (!isAcceptedFrom(link.peer.role, message.type)) {
            this.context.metrics.dropped?.(message.type);
            return;
        }
        if (this.closed) {
            this.refuse(message, link);
            return;
        }
        switch (message.type) {
            case "frame":
                this.receiveFrame(message, link);
                return;
            case "sampled":
            case "joined":
            case "stageFailed":
                this.receiveFromStage(message);
                return;
            case "open":
                void this.heads.open(message, link);
                return;
            case "join":
                void this.stages.join(message, link);
                return;
            case "credit":
                this.receiveCredit(message, link);
                return;
            case "cancel":
                this.receiveCancel(message.request, message.epoch, message.retain === true);
                return;
            case "call":
                this.receiveCall(message, link);
                return;
            case "callCancel":
                this.calls?.cancel(message.request);
                return;
            case "replyCredit":
                this.calls?.credit(message.request, message.upTo);
                return;
            default:
                this.context.metrics.dropped?.(message.type);
        }
    }

    /** Refuses new work that arrives on open links after the agent has closed. */
    private refuse(message: Message, link: Link): void {
        switch (message.type) {
            case "open":
                this.heads.refuseClosed(message, link);
                return;
            case "join":
                this.stages.refuseClosed(message, link);
                return;
            case "call":
                this.refuseCall(message, link, closedFailure(this.calls?.knows(message.claim) === true));
                return;
            default:
        }
    }

    private receiveFrame(message: Extract<Message, { type: "frame"; }>, link: Link): void {
        const attempt = this.context.table.find(message.request, message.epoch);
        if (attempt instanceof StageAttempt) {
            attempt.frame(message, link);
            return;
        }
        this.context.metrics.dropped?.("frame");
    }

    private receiveFromStage(message: Extract<Message, { type: "sampled" | "joined" | "stageFailed"; }>): void {
        const attempt = this.context.table.find(message.request, message.epoch);
        if (!(attempt instanceof HeadAttempt)) {
            this.context.metrics.dropped?.(message.type);
            return;
        }
        switch (message.type) {
            case "sampled":
                attempt.sampled(message);
                return;
            case "joined":
                attempt.joined(message);
                return;
            case "stageFailed":
                attempt.stageFailed(message);
        }
    }

    private receiveCredit({ request, epoch, upTo }: CreditMessage, link: Link): void {
        const attempt = this.context.table.find(request, epoch);
        if (link.peer.role === "agent") {
            if (attempt instanceof HeadAttempt || attempt instanceof StageAttempt) {
                attempt.grant(upTo);
            }
            return;
        }
        if (attempt instanceof HeadAttempt || attempt instanceof DuplicateAttempt) {
            attempt.credit(upTo);
        }
    }

    private receiveCancel(request: string, epoch: number, retain: boolean): void {
        const { table } = this.context;
        const attempt = table.find(request, epoch);
        if (attempt instanceof StageAttempt) {
            attempt.cancel(retain);
            return;
        }
        if (attempt instanceof HeadAttempt) {
            attempt.cancel(retain);
            return;
        }
        if (attempt instanceof DuplicateAttempt) {
            attempt.cancel();
            return;
        }
        if (table.classify(request, epoch) === "new") {
            // The cancellation arrived before the attempt, which must not start any more.
            table.end(request, epoch);
        }
    }

    private receiveCall(message: CallMessage, link: Link): void {
        if (this.calls !== undefined) {
            this.calls.call(message, link);
            return;
        }
        this.refuseCall(message, link, noService(message.service));
    }

    private refuseCall({ request }: CallMessage, link: Link, reason: Failure): void {
        link.send({ type: "callFailed", request, failure: toWire(reason), load: this.context.load.report() });
    }

    /** Sets the shares of the organisations in the queue. */
    private applyShares(): void {
        const { configuration, queue } = this.context;
        configuration.list("organisation").forEach(({ name, spec }) => queue.setShare(name, spec.share));
    }
}
