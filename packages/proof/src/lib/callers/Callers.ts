import { referenceAnswer } from "@waxwingspar/engine";
import { type FileRecorder } from "@waxwingspar/history";
import { type Clock, type Random, uniqueId } from "@waxwingspar/utils";
import { createHash } from "node:crypto";
import { setTimeout as pause } from "node:timers/promises";
import { serviceAnswer, serviceName } from "../site/ServiceStandIn.js";
import { siteModel } from "../site/siteModel.js";
import { callEntry, type CallResult, createConnections } from "./callEntry.js";

/** @internal */
export interface CallersOptions {
    readonly clock: Clock;
    readonly random: Random;
    readonly recorder: FileRecorder;
    /** The HTTP origins of the entries. */
    readonly origins: readonly string[];
    /** Model requests per second, and service calls per second; the rates do not depend on earlier requests. */
    readonly modelRate: number;
    readonly serviceRate: number;
}

/** The kinds of requests that callers send. @internal */
export type RequestKind = "model" | "claimed model" | "read" | "publish";

/** The outcome of one request, with all its attempts. @internal */
export interface RequestResult {
    readonly kind: RequestKind;
    readonly outcome: CallResult["outcome"];
    readonly attempts: readonly CallResult[];
}

interface Call {
    readonly kind: RequestKind;
    readonly method: "GET" | "POST";
    readonly path: string;
    readonly body?: string;
    readonly expected: string;
    readonly key?: string;
}

const maxAttempts = 4;
/** Milliseconds before the first retry; the delay grows by as much with each further attempt. */
const retryDelay = 150;
const claimedShare = 0.2;
const publishShare = 0.6;
/** Share of the calls with an idempotency key that are sent twice concurrently. */
const concurrentDuplicateShare = 0.3;
/** Share of the calls with an idempotency key that are repeated later. */
const delayedDuplicateShare = 0.3;
/** Milliseconds after which a delayed duplicate is sent. */
const duplicateDelay = 4000;
/** Width of the variation of the time between two requests, as a share of the mean. */
const jitter = 0.4;
const millisecondsPerSecond = 1000;

/**
 * Open-loop callers: requests are sent at fixed rates regardless of the outcome of earlier ones. A failed request is
 * retried at the next entry under the same idempotency key. Some requests with a key are sent twice concurrently, and
 * some are repeated seconds later.
 *
 * @internal
 */
export class Callers {
    readonly results: RequestResult[] = [];
    private readonly connections = createConnections();
    private readonly open = new Set<Promise<unknown>>();
    private readonly stopped = new AbortController();
    private counter = 0;

    constructor(private readonly options: CallersOptions) {}

    /** Starts sending requests. */
    start(): void {
        const { modelRate, serviceRate } = this.options;
        void this.sendAtRate(modelRate, () => this.modelCall());
        void this.sendAtRate(serviceRate, () => this.serviceCall());
    }

    /** Stops sending and waits until all requests in flight have ended. */
    async finish(): Promise<void> {
        this.stopped.abort();
        while (this.open.size > 0) {
            await Promise.all(this.open);
        }
        await this.connections.close();
    }

    private async sendAtRate(rate: number, create: () => Call): Promise<void> {
        const { random } = this.options;
        while (!this.stopped.signal.aborted) {
            await pause((1 - jitter / 2 + jitter * random.next()) / rate * millisecondsPerSecond);
            if (!this.stopped.signal.aborted) {
                this.send(create());
            }
        }
    }

    private send(call: Call): void {
        this.track(this.run(call));
        if (call.kind !== "publish" && call.kind !== "claimed model") {
            return;
        }
        if (this.options.random.next() < concurrentDuplicateShare) {
            this.track(this.run(call));
        }
        if (this.options.random.next() < delayedDuplicateShare) {
            this.track(pause(duplicateDelay).then(() => this.run(call)));
        }
    }

    private track(work: Promise<unknown>): void {
        this.open.add(work);
        void work.finally(() => this.open.delete(work));
    }

    private modelCall(): Call {
        const { random } = this.options;
        const prompt = `You advise technicians of depot ${random.below(5)}. Question ${++this
            .counter}: what of the mast?`;
        const maxTokens = 30 + random.below(60);
        const { model, version, layers } = siteModel;
        const { text } = referenceAnswer({ model, version, layers, prompt, maxTokens });
        const claimed = random.next() < claimedShare;
        return {
            kind: claimed ? "claimed model" : "model",
            method: "POST",
            path: "/v1/completions",
            body: JSON.stringify({ model, prompt, max_tokens: maxTokens, stream: true }),
            expected: text,
            key: claimed ? uniqueId() : undefined,
        };
    }

    private serviceCall(): Call {
        const number = ++this.counter;
        const publish = this.options.random.next() < publishShare;
        const method = publish ? "POST" : "GET";
        const path = publish ? "/work-orders" : `/work-orders/${number}`;
        const body = publish ? `order ${number}` : undefined;
        return {
            kind: publish ? "publish" : "read",
            method,
            path: `/services/${serviceName}${path}`,
            body,
            expected: serviceAnswer(method, path, body ?? ""),
            key: publish ? uniqueId() : undefined,
        };
    }

    /** Sends a call until it completes or all attempts are used; each attempt goes to the next entry. */
    private async run(call: Call): Promise<void> {
        const { origins, random } = this.options;
        const first = random.below(origins.length);
        const attempts: CallResult[] = [];
        for (let index = 0; index < maxAttempts; index++) {
            const end = await this.sendAttempt(call, origins[(first + index) % origins.length] ?? "");
            attempts.push(end);
            if (end.outcome === "completed") {
                break;
            }
            await pause(retryDelay * (index + 1));
        }
        this.results.push({ kind: call.kind, outcome: attempts.at(-1)?.outcome ?? "not run", attempts });
    }

    private async sendAttempt(call: Call, origin: string): Promise<CallResult> {
        const { clock, recorder } = this.options;
        const callerRequest = uniqueId();
        const { key, expected } = call;
        recorder.record({ event: "caller.sent", callerRequest, idempotent: key === undefined, key });
        const end = await callEntry({
            clock,
            connections: this.connections,
            url: origin + call.path,
            method: call.method,
            headers: {
                "x-request-id": callerRequest,
                ...(call.body === undefined ? {} : { "content-type": "application/json" }),
                ...(key === undefined ? {} : { "idempotency-key": key, "x-non-idempotent": "true" }),
            },
            body: call.body,
            streamed: call.kind === "model" || call.kind === "claimed model",
        });
        const { outcome, code, text } = end;
        recorder.record({
            event: "caller.ended",
            callerRequest,
            outcome,
            code,
            digest: digestOf(text),
            expected: digestOf(expected),
        });
        return end;
    }
}

function digestOf(text: string): string {
    return createHash("sha256").update(text).digest("hex");
}
