import { type ReplyHeadMessage } from "@waxwingspar/connections";
import { type Clock, type ResultCode } from "@waxwingspar/utils";
import { type IncomingMessage, type ServerResponse } from "node:http";
import { type Organisation, type Route } from "../configuration/Configuration.js";
import { listCrashCauses } from "../crashes/crashCauses.js";
import { type Target } from "../directory/Target.js";
import { type LoopMonitor } from "../observation/LoopMonitor.js";
import { type Observation } from "../observation/Observation.js";
import { type CallerPresence } from "../server/CallerPresence.js";
import { type CallerLinkMonitor } from "./CallerLinkMonitor.js";
import { Delivery } from "./Delivery.js";
import { type CallerRequest } from "./messages.js";
import { requestDigest } from "./requestDigest.js";

/** Options of {@link CallerExchange}. */
export interface CallerExchangeOptions {
    readonly clock: Clock;
    readonly incoming: IncomingMessage;
    readonly response: ServerResponse;
    readonly presence: CallerPresence;
    readonly request: CallerRequest;
    readonly route: Route;
    readonly organisation: Organisation | undefined;
    /** Estimated time on the clock. */
    readonly arrivedAt: number;
    readonly body: Buffer | undefined;
    readonly observation: Observation;
    readonly link: CallerLinkMonitor;
    readonly loop: Pick<LoopMonitor, "longestDelay">;
    /** Version of the configuration that the request was routed and authenticated by. */
    readonly configurationVersion: number;
}

/** What a gateway knew of a target when it sent a request there. */
export interface SendBasis {
    /** Milliseconds since the list of targets was last confirmed. */
    readonly listAge: number;
    /** Requests per second that the target had said it takes; undefined without a limit. */
    readonly limit?: number;
    /** Milliseconds since the target had stated that limit. */
    readonly limitAge?: number;
    /** Milliseconds for which the target had asked for no requests; undefined without a rest. */
    readonly restLeft?: number;
}

/** Hop-by-hop headers, which a gateway must not forward. */
const hopByHopHeaders = new Set([
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
]);
/** Headers that describe the whole body of one reply, which another target that continues a stream does not keep. */
const wholeBodyHeaders = new Set([
    "accept-ranges",
    "content-digest",
    "content-length",
    "content-md5",
    "content-range",
    "digest",
    "etag",
    "repr-digest",
]);
const millisecondsPerSecond = 1_000;
/** Why a run fails whose reply has a head that cannot be passed on. */
export const unwritableHead = "the head of the reply cannot be written";
/** Maximum number of parts of a prompt in one log line. */
const maxLoggedParts = 8;
/** Maximum `Retry-After`, as a share of the caller's remaining time. Callers do not honour a longer one. */
const retryAfterShare = 0.3;

/** The caller's side of one request: the request itself and its answer, which ends exactly once. */
export class CallerExchange {
    /** Time on the clock by which the caller must have its final answer. */
    readonly deadline: number;
    /** Identifies the request across all its attempts and gateways. */
    readonly digest: string;
    /** What may be the cause if a target crashes while running the request. */
    readonly crashCauses: readonly string[];
    private isOver = false;
    private hasHead = false;
    private firstByteAt: number | undefined;
    private lastByteAt: number | undefined;
    private longestPause = 0;
    private disconnectListener: (() => void) | undefined;
    private drainListener: (() => void) | undefined;
    private closeListener: (() => void) | undefined;
    /** Milliseconds from the estimated arrival until the request was begun. */
    private readonly ageAtBegin: number;
    private sends = 0;
    private lastSendAt: number | undefined;
    private lastTarget: Target | undefined;
    private lastBasis: SendBasis | undefined;
    private readonly delivery: Delivery;
    /** Outcome of an answer that has ended but is not flushed yet. */
    private pendingOutcome: string | undefined;

    constructor(private readonly options: CallerExchangeOptions) {
        const { request, route, arrivedAt, response, presence, clock, link, incoming, organisation, body } = options;
        this.delivery = new Delivery({ clock, onFlushed: wait => link.recordWait(this, wait) });
        this.ageAtBegin = clock.now() - arrivedAt;
        this.deadline = arrivedAt + Math.min(route.timeout, request.timeLeft ?? Infinity);
        this.digest = requestDigest({
            method: this.method,
            hostname: incoming.headers.host ?? "",
            path: this.path,
            organisation: organisation?.name,
            body,
        });
        this.crashCauses = listCrashCauses(this.digest, request.sharedParts);
        presence.onLeave(() => this.handleLeave());
        response.on("drain", () => this.drainListener?.());
    }

    get request(): CallerRequest {
        return this.options.request;
    }

    get route(): Route {
        return this.options.route;
    }

    get organisation(): Organisation | undefined {
        return this.options.organisation;
    }

    get method(): string {
        return this.options.incoming.method ?? "GET";
    }

    get path(): string {
        return this.options.incoming.url ?? "/";
    }

    get rawHeaders(): readonly string[] {
        return this.options.incoming.rawHeaders;
    }

    get body(): Buffer | undefined {
        return this.options.body;
    }

    /** Milliseconds until the deadline. */
    get timeLeft(): number {
        return this.deadline - this.options.clock.now();
    }

    /** Milliseconds since the request arrived. */
    get age(): number {
        return this.options.clock.now() - this.options.arrivedAt;
    }

    /** True once the answer has ended or the caller has disconnected. */
    get ended(): boolean {
        return this.isOver;
    }

    /** True once the head of the answer has been sent, so that it cannot be replaced by another answer. */
    get headSent(): boolean {
        return this.hasHead;
    }

    /** Sets the handler for a caller that disconnects before its answer has ended. */
    onDisconnect(listener: () => void): void {
        this.disconnectListener = listener;
    }

    /** Sets the handler for the moment when the answer has been written or its connection is closed. */
    onClose(listener: () => void): void {
        this.closeListener = listener;
    }

    /** Sets the handler for the moment when the write buffer to the caller has drained. */
    onDrain(listener: () => void): void {
        this.drainListener = listener;
    }

    /** Records that the request is sent to a target; for a chain, to its first target. */
    noteSend(target: Target, basis: SendBasis): void {
        this.sends++;
        this.lastSendAt = this.options.clock.now();
        this.lastTarget = target;
        this.lastBasis = basis;
        this.options.observation.metrics.targetListAge.record(basis.listAge, {});
    }

    /**
     * Sends the head of a target's reply, unless one has been sent.
     *
     * @param isStream - Whether the body is sent event by event, and maybe continued by another target.
     * @returns False if it cannot be written. Nothing has been sent then, so that another answer is still possible.
     */
    writeHead({ statusCode: status = 0, rawHeaders }: ReplyHeadMessage, isStream = false): boolean {
        if (this.hasHead) {
            return true;
        }
        const { response, observation, request } = this.options;
        try {
            response.writeHead(status, selectHeaders(rawHeaders, isStream));
        }
        catch (error) {
            observation.metrics.unwritableHeads.add({});
            observation.logs.requests.error({
                request: request.id,
                digest: this.digest,
                target: this.lastTarget?.id,
                status,
                error: String(error),
            }, "head cannot be written");
            return false;
        }
        this.hasHead = true;
        return true;
    }

    /**
     * Sends a part of the body. Without a head the answer is broken off, since Node.js would add a head of its own.
     *
     * @returns False if the caller does not keep up; the handler of `onDrain` is called when it does again.
     */
    write(chunk: Buffer): boolean {
        if (!this.hasHead) {
            this.breakOff("a body without a head");
            return true;
        }
        const now = this.options.clock.now();
        this.firstByteAt ??= now;
        this.longestPause = Math.max(this.longestPause, now - (this.lastByteAt ?? now));
        this.lastByteAt = now;
        return this.options.response.write(chunk, this.delivery.begin());
    }

    /** Ends a complete answer. */
    end(outcome: string, chunk?: Buffer): void {
        if (this.isOver) {
            return;
        }
        if (!this.hasHead) {
            this.breakOff("an end without a head");
            return;
        }
        this.firstByteAt ??= this.options.clock.now();
        this.isOver = true;
        this.pendingOutcome = outcome;
        this.options.response.end(chunk, this.delivery.begin());
        this.options.response.once("finish", () => this.finishEnded());
    }

    /** Aborts an answer that cannot be completed, so that it does not look complete to the caller. */
    breakOff(reason: string): void {
        if (!this.isOver) {
            this.options.response.destroy();
            this.finish(`broken off: ${reason}`);
        }
    }

    /**
     * Answers with a result code of the gateway itself.
     *
     * @param retryAfter - Milliseconds after which the caller may retry; for requests that have not been executed.
     * @param isBinding - Whether the time is named in full: an earlier retry is known to be in vain.
     */
    refuse(code: ResultCode, reason: string, retryAfter?: number, isBinding = false): void {
        if (this.isOver) {
            return;
        }
        if (this.hasHead) {
            this.breakOff(reason);
            return;
        }
        this.options.observation.metrics.refusals.add({ code: `${code.number}` });
        writeRefusal(
            this.options.response,
            code,
            reason,
            retryAfter === undefined || isBinding ? retryAfter : this.limit(retryAfter),
        );
        this.finish(`${code.name}: ${reason}`);
    }

    private limit(retryAfter: number): number {
        const { request, arrivedAt, clock } = this.options;
        const left = (request.timeLeft ?? Infinity) - (clock.now() - arrivedAt);
        return Math.max(0, Math.min(retryAfter, left * retryAfterShare));
    }

    private handleLeave(): void {
        this.closeListener?.();
        this.finishEnded();
        if (!this.isOver) {
            this.options.observation.metrics.callersLeft.add({ stage: this.stage });
            this.finish(`caller left, ${this.stage}`);
            this.disconnectListener?.();
        }
    }

    private get stage(): "unsent" | "sent" | "answering" {
        if (this.hasHead) {
            return "answering";
        }
        return this.sends > 0 ? "sent" : "unsent";
    }

    /** Finishes an ended answer once it is flushed or the connection is closed. */
    private finishEnded(): void {
        if (this.pendingOutcome !== undefined) {
            this.finish(this.pendingOutcome);
            this.pendingOutcome = undefined;
        }
    }

    private finish(outcome: string): void {
        this.isOver = true;
        const { clock, arrivedAt, route, response, observation, organisation, request } = this.options;
        const duration = clock.now() - arrivedAt;
        const status = this.hasHead || response.headersSent ? response.statusCode : 0;
        observation.metrics.requests.add({ kind: route.kind, status: `${status}` });
        observation.metrics.duration.record(duration, { kind: route.kind });
        const firstByte = this.firstByteAt === undefined ? undefined : this.firstByteAt - arrivedAt;
        if (firstByte !== undefined) {
            observation.metrics.firstByte.record(firstByte, { kind: route.kind });
        }
        const { firstFlushedAt: firstAt, longestPause, longestWait } = this.delivery;
        if (firstAt !== undefined) {
            observation.metrics.deliveredPause.record(longestPause, { kind: route.kind });
            observation.metrics.deliveryWait.record(longestWait, { kind: route.kind });
        }
        observation.logs.requests.info({
            request: request.id,
            digest: this.digest,
            parts: this.crashCauses.slice(1, 1 + maxLoggedParts),
            route: route.name,
            organisation: organisation?.name,
            configuration: this.options.configurationVersion,
            outcome,
            status,
            sends: this.sends,
            target: this.lastTarget?.id,
            dataCentre: this.lastTarget?.dataCentre,
            listAge: round(this.lastBasis?.listAge),
            limit: this.lastBasis?.limit,
            limitAge: round(this.lastBasis?.limitAge),
            restLeft: round(this.lastBasis?.restLeft),
            firstByte: round(firstByte),
            longestPause: round(this.longestPause),
            firstDelivered: round(firstAt === undefined ? undefined : firstAt - arrivedAt),
            deliveredPause: round(longestPause),
            deliveryWait: round(longestWait),
            duration: round(duration),
            ageAtBegin: round(this.ageAtBegin),
            sinceSend: round(this.lastSendAt === undefined ? undefined : clock.now() - this.lastSendAt),
            loopDelay: round(this.options.loop.longestDelay),
        }, "request ended");
    }
}

/** Answers a request that has not been executed, or whose outcome is unknown, with a result code. */
export function writeRefusal(
    response: ServerResponse,
    code: ResultCode,
    message: string,
    retryAfter?: number,
): void {
    const body = Buffer.from(JSON.stringify({ code: code.number, name: code.name, message }));
    const headers: Record<string, string | number> = {
        "Content-Type": "application/json",
        "Content-Length": body.length,
    };
    if (retryAfter !== undefined) {
        headers["Retry-After"] = (retryAfter / millisecondsPerSecond).toFixed(3);
    }
    response.writeHead(code.status, headers);
    response.end(body);
}

/** @returns The headers of a reply that hold for the answer to its caller. */
function selectHeaders(rawHeaders: readonly string[], isStream: boolean): string[] {
    const kept: string[] = [];
    for (let i = 0; i + 1 < rawHeaders.length; i += 2) {
        const name = rawHeaders[i] ?? "";
        const lowerCase = name.toLowerCase();
        if (!hopByHopHeaders.has(lowerCase) && !(isStream && wholeBodyHeaders.has(lowerCase))) {
            kept.push(name, rawHeaders[i + 1] ?? "");
        }
    }
    return kept;
}

function round(value: number | undefined): number | undefined {
    return value === undefined ? undefined : Math.round(value);
}
