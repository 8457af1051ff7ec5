import { ByteAccumulator, type Clock, type Outcome } from "@waxwingspar/utils";
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
    /** The origin of the engine's URL, such as `http://127.0.0.1:9000`. */
    readonly origin: string;
    /** Maximum number of connections for steps; other calls share as many again. */
    readonly connections?: number;
    /** Milliseconds before an attempt to open a connection times out. */
    readonly connectTimeout?: number;
    /** Milliseconds before a call times out; its outcome is then unknown. */
    readonly callTimeout?: number;
    /** Milliseconds before a batch of steps times out. */
    readonly stepTimeout?: number;
    /** Milliseconds before an order times out; loading weights takes far longer than other calls. */
    readonly orderTimeout?: number;
    /** Maximum size of a response in bytes. */
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
 * Client of an engine over HTTP. Bodies are MessagePack; steps submitted in one turn of the event loop share a request.
 *
 * A call fails as `not-connected`, which is "not run", only if no connection could be opened. Any later failure
 * (`connection-lost`, `request-timeout`, `protocol-violation`) leaves the outcome unknown. This class does not retry.
 *
 * @public
 */
export class HttpEngine implements Engine {
    private readonly options: Required<HttpEngineOptions>;
    /** Steps use separate connections, so that other calls still get through to an engine whose steps hang. */
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

    /** Closes every connection to the engine. Calls in flight fail with an unknown outcome. */
    async disconnect(): Promise<void> {
        await Promise.all([this.client.close(), this.stepClient.close()]);
    }

    private async call<Name extends EngineMethod>(
        method: Name,
        input: MethodInput<Name>,
        timeout = this.options.callTimeout,
    ): Promise<Outcome<MethodOutput<Name>>> {
        const body = new ByteAccumulator();
        const sent = await this.client.post(methodPath(method), input, timeout, chunk => {
            body.add(chunk);
            return body.length <= this.options.answerLimit;
        });
        return sent.andThen(() => {
            // The compiler cannot relate the schema of a generic method to the type of its output.
            const output = engineMethods[method].output as unknown as z.ZodType<MethodOutput<Name>>;
            return fromWireOutcome(unpackBody(body.take()), output);
        });
    }
}
