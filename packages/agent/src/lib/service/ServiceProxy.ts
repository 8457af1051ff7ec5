import { SpanKind } from "@opentelemetry/api";
import { createWatchedPool } from "@waxwingspar/connections/pool";
import { parentContext, traceparentOf } from "@waxwingspar/telemetry";
import { type CallMessage, type Link } from "@waxwingspar/transport";
import { type Failure, failure, requestCodes } from "@waxwingspar/utils";
import { type Dispatcher } from "undici";
import { type AgentContext } from "../AgentContext.js";
import { type ClaimUse } from "../claims/ClaimTable.js";
import { CallRecordSink } from "./CallRecordSink.js";
import { type CallClaims, type CallRecord, type CallSink } from "./CallSink.js";
import { CallStream } from "./CallStream.js";
import { ServiceCall } from "./ServiceCall.js";

const defaultTimeout = 10_000;
const defaultMaxBody = 1_048_576;
const connectTimeout = 1000;
const methodPattern = /^[A-Z]+$/;

/**
 * The address of the plain service that an agent proxies.
 *
 * @public
 */
export interface ServiceAddress {
    /** The name of the service resource. */
    readonly name: string;
    /** The base URL of the service, such as `http://127.0.0.1:9000`. */
    readonly baseUrl: string;
    /** Sends the calls; a connection pool for `baseUrl` by default. */
    readonly dispatcher?: Dispatcher;
}

/** A queued or running call. */
interface OpenCall {
    readonly stream: CallStream;
    readonly claimed: boolean;
    /** The id in the work queue. */
    readonly item: string;
    call: ServiceCall | undefined;
}

/** The work-queue entry of a call. */
interface CallSlot {
    readonly item: string;
    /** The clock's time by which the answer must be complete. */
    readonly due: number;
}

/**
 * Proxies calls to the plain service, and runs each claimed call at most once.
 *
 * @internal
 */
export class ServiceProxy {
    private readonly dispatcher: Dispatcher;
    private readonly root: string;
    private readonly calls = new Map<string, OpenCall>();
    /** The sinks of admitted claimed calls, to which the streams of duplicates are added. */
    private readonly recordSinks = new WeakMap<CallRecord, CallRecordSink>();
    /** Number of calls in flight to the service, including those whose caller is gone. */
    private runningCalls = 0;
    private callCount = 0;

    constructor(
        private readonly context: AgentContext,
        private readonly claims: CallClaims,
        private readonly service: ServiceAddress,
    ) {
        const url = new URL(service.baseUrl);
        this.root = url.pathname.replace(/\/$/, "");
        this.dispatcher = service.dispatcher ?? createServicePool(url.origin);
    }

    /** Number of calls that would be interrupted if the agent closed now. */
    get active(): number {
        return Math.max(this.calls.size, this.runningCalls);
    }

    /** Handles a `call` message. */
    call(message: CallMessage, link: Link): void {
        if (this.calls.has(message.request)) {
            this.context.metrics.dropped?.("call");
            return;
        }
        const stream = this.createStream(message, link);
        const refusal = this.check(message);
        if (refusal !== undefined) {
            this.refuse(message, stream, refusal);
            return;
        }
        if (message.claim === undefined) {
            this.offer(message, stream);
            return;
        }
        this.callClaimed(message, claimUse(message, message.claim), stream);
    }

    /** Returns true if a call under this claim may have run here. */
    knows(claim: string | undefined): boolean {
        return claim !== undefined && this.claims.knows(claim);
    }

    /** Handles a `replyCredit` message. */
    credit(request: string, upTo: number): void {
        this.calls.get(request)?.stream.credit(upTo);
    }

    /** Handles a `callCancel` message. A claimed call runs to its end, and its answer is kept for duplicates. */
    cancel(request: string): void {
        const open = this.calls.get(request);
        if (open === undefined) {
            return;
        }
        open.stream.drop();
        if (open.claimed) {
            return;
        }
        open.call?.abort();
        this.context.queue.cancel(open.item);
    }

    /** Fails every open call and closes the connections. */
    async close(): Promise<void> {
        for (const open of [...this.calls.values()]) {
            open.stream.failed(failure(requestCodes.outcomeUnknown, "the agent stopped while the call was open"));
        }
        await this.dispatcher.destroy();
    }

    private createStream(message: CallMessage, link: Link): CallStream {
        const { load, links } = this.context;
        const { request, credit } = message;
        const stopWatch = links.watch(link, () => this.cancel(request));
        const ended = (): void => {
            stopWatch();
            load.end(link);
            this.calls.delete(request);
        };
        const stream = new CallStream({ link, request, credit, load: () => load.report(), ended });
        load.begin(link);
        // The counter keeps ids unique: an aborted call holds its slot briefly, and its request may be repeated then.
        const item = `call/${request}/${this.callCount++}`;
        this.calls.set(request, { stream, claimed: message.claim !== undefined, item, call: undefined });
        return stream;
    }

    private check({ service, path, method, body, claim }: CallMessage): Failure | undefined {
        if (this.knows(claim)) {
            // The call may have run here, so it must not be refused as "not run" for any reason.
            return undefined;
        }
        if (this.context.load.leaving) {
            return failure(requestCodes.stopping, "the target is leaving");
        }
        if (service !== this.service.name) {
            return failure(requestCodes.wrongTarget, `${service} does not run here`);
        }
        if (!path.startsWith("/") || !methodPattern.test(method)) {
            return failure(requestCodes.malformed, "the call has no valid method or path");
        }
        const limit = this.context.configuration.get("service", service)?.spec.maxBody ?? defaultMaxBody;
        return body.length > limit
            ? failure(requestCodes.tooLarge, `the body of ${body.length} bytes exceeds the limit of ${limit} bytes`)
            : undefined;
    }

    private callClaimed(message: CallMessage, use: ClaimUse, stream: CallStream): void {
        const admitted = this.claims.admit(use);
        if (admitted.isErr) {
            this.refuse(message, stream, admitted.error);
            return;
        }
        const { action, record } = admitted.value;
        record.follow(stream);
        this.recordSinks.get(record)?.add(stream);
        if (action === "run") {
            this.offer(message, this.createRecordSink(record, stream));
        }
    }

    private createRecordSink(record: CallRecord, stream: CallStream): CallRecordSink {
        const sink = new CallRecordSink(this.claims, record, stream, this.context.settings.replyMemory);
        this.recordSinks.set(record, sink);
        return sink;
    }

    private offer(message: CallMessage, sink: CallSink): void {
        const { request, organisation, priority, timeLeft } = message;
        const timeout = Math.min(timeLeft, this.serviceTimeout());
        const slot: CallSlot = {
            item: this.calls.get(request)?.item ?? request,
            due: this.context.clock.now() + timeout,
        };
        const offered = this.context.queue.offer({
            id: slot.item,
            organisation,
            priority,
            timeLeft,
            startBound: timeout,
            cost: 1,
            start: () => void this.run(message, sink, slot),
            refuse: reason => this.refuse(message, sink, reason),
        });
        if (offered.isErr) {
            this.refuse(message, sink, offered.error);
        }
    }

    private async run(message: CallMessage, sink: CallSink, { item, due }: CallSlot): Promise<void> {
        const { context, dispatcher, root } = this;
        const { clock, record, target, settings, queue } = context;
        const { request, service } = message;
        const startedAt = clock.now();
        const span = context.tracer.startSpan("agent.call", {
            kind: SpanKind.CLIENT,
            attributes: { "waxwingspar.request": request, "waxwingspar.service": service },
        }, parentContext(message.traceparent));
        const traceparent = traceparentOf(span);
        const headers = traceparent === undefined ? message.headers : { ...message.headers, traceparent };
        const call = new ServiceCall({
            message: { ...message, headers },
            dispatcher,
            root,
            clock,
            timeout: due - startedAt,
            sink,
            sent: () =>
                record({ event: "service.run", request, service, target, key: message.headers["idempotency-key"] }),
            piece: settings.replyPiece,
            highWater: settings.linkHighWater,
        });
        const open = this.calls.get(request);
        if (open !== undefined) {
            open.call = call;
        }
        record({ event: "work.accepted", request, epoch: 0, target });
        this.runningCalls++;
        await call.run();
        this.runningCalls--;
        queue.finish(item, clock.now() - startedAt);
        span.end();
    }

    private refuse({ request, claim, ...message }: CallMessage, sink: CallSink, reason: Failure): void {
        if (reason.code.execution === "not run") {
            const { record, target } = this.context;
            record({ event: "work.refused", request, epoch: 0, target, code: reason.code.number });
            if (claim !== undefined) {
                this.claims.refuse(claimUse({ request, ...message }, claim), reason);
            }
        }
        sink.failed(reason);
    }

    private serviceTimeout(): number {
        return this.context.configuration.get("service", this.service.name)?.spec.timeout ?? defaultTimeout;
    }
}

/** Creates the connections to a service. @internal */
export function createServicePool(origin: string): Dispatcher {
    return createWatchedPool(origin, { connect: { timeout: connectTimeout } });
}

function claimUse({ request, service, organisation }: Omit<CallMessage, "claim">, claim: string): ClaimUse {
    return { claim, request, route: service, organisation };
}
