import { type Clock, type Outcome } from "@waxwingspar/utils";
import { type z } from "zod";
import {
    type CacheEvent,
    type Engine,
    type EngineInfo,
    type EngineLoad,
    type Order,
    type Session,
    type Step,
    type StepResult,
} from "./Engine.js";
import { EngineClient } from "./http/EngineClient.js";
import {
    type EngineMethod,
    engineMethods,
    type MethodInput,
    type MethodOutput,
    methodPath,
} from "./http/engineMethods.js";
import { StepBatcher } from "./http/StepBatcher.js";
import { fromWireOutcome, unpackBody } from "./http/wireOutcome.js";

/**
 * Options of {@link HttpEngine}.
 *
 * @public
 */
export interface HttpEngineOptions {
    readonly clock: Clock;
    /** Where the engine listens, such as `http://127.0.0.1:9000`. */
    readonly origin: string;
    /** The most connections at once for steps, and as many again for all other calls. */
    readonly connections?: number;
    /** Milliseconds until opening a connection is given up. */
    readonly connectTimeout?: number;
    /** Milliseconds until a call is given up; it has an unknown outcome then. */
    readonly callTimeout?: number;
    /** Milliseconds until a batch of steps is given up. */
    readonly stepTimeout?: number;
    /** Milliseconds until an order is given up; a load may take long. */
    readonly orderTimeout?: number;
    /** The most bytes of one answer. */
    readonly answerLimit?: number;
}

const defaults = {
    connections: 32,
    connectTimeout: 2000,
    callTimeout: 10_000,
    stepTimeout: 60_000,
    orderTimeout: 600_000,
    answerLimit: 64 * 1024 * 1024,
};

/**
 * An engine behind HTTP. Bodies are MessagePack; the steps of one turn of the event loop share a request.
 *
 * A call fails as `not-connected`, which is "not run", only when no connection could be opened. Whatever fails later
 * (`connection-lost`, `request-timeout`, `protocol-violation`) has an unknown outcome. Nothing is retried here.
 *
 * @public
 */
export class HttpEngine implements Engine {
    private readonly options: Required<HttpEngineOptions>;
    /** Steps have connections of their own, so that an engine that hangs on them can still be asked and told. */
    private readonly stepClient: EngineClient;
    private readonly client: EngineClient;
    private readonly steps: StepBatcher;

    constructor(options: HttpEngineOptions) {
        this.options = { ...defaults, ...options };
        this.client = new EngineClient(this.options);
        this.stepClient = new EngineClient(this.options);
        this.steps = new StepBatcher(this.stepClient, this.options.stepTimeout, this.options.answerLimit);
    }

    info(): Promise<Outcome<EngineInfo>> {
        return this.call("info", undefined);
    }

    tokenize(model: string, text: string): Promise<Outcome<number[]>> {
        return this.call("tokenize", { model, text });
    }

    open(session: Session): Promise<Outcome<{ cached: number; }>> {
        return this.call("open", session);
    }

    step(step: Step): Promise<Outcome<StepResult>> {
        return this.steps.submit(step);
    }

    async close(session: string): Promise<void> {
        await this.call("close", { session });
    }

    exportCache(session: string): Promise<Outcome<{ positions: number; data: Uint8Array; }>> {
        return this.call("exportCache", { session });
    }

    importCache(session: string, data: Uint8Array): Promise<Outcome<{ positions: number; }>> {
        return this.call("importCache", { session, data });
    }

    load(): Promise<Outcome<EngineLoad>> {
        return this.call("load", undefined);
    }

    cacheEvents(after: number): Promise<Outcome<CacheEvent[]>> {
        return this.call("cacheEvents", { after });
    }

    order(order: Order): Promise<Outcome<void>> {
        return this.call("order", order, this.options.orderTimeout);
    }

    /** Closes every connection to the engine. Calls under way fail with an unknown outcome. */
    async disconnect(): Promise<void> {
        await Promise.all([this.client.close(), this.stepClient.close()]);
    }

    private async call<Name extends EngineMethod>(
        method: Name,
        input: MethodInput<Name>,
        timeout = this.options.callTimeout,
    ): Promise<Outcome<MethodOutput<Name>>> {
        const pieces: Buffer[] = [];
        let bytes = 0;
        const sent = await this.client.post(methodPath(method), input, timeout, piece => {
            bytes += piece.length;
            pieces.push(piece);
            return bytes <= this.options.answerLimit;
        });
        return sent.andThen(() => {
            // The compiler does not relate the schema of a generic method to its type.
            const output = engineMethods[method].output as unknown as z.ZodType<MethodOutput<Name>>;
            return fromWireOutcome(unpackBody(Buffer.concat(pieces)), output);
        });
    }
}
