import { type Clock, type Outcome } from "@waxwingspar/utils";
import { pack } from "msgpackr";
import { Result } from "true-myth";
import { type Dispatcher, Pool } from "undici";
import { connectionFailure, timeoutErrorName } from "./connectionFailure.js";
import { protocolViolation } from "./wireOutcome.js";

const contentType = "application/msgpack";
const statusOk = 200;

/** @internal */
export interface EngineClientOptions {
    readonly clock: Clock;
    /** Where the engine listens, such as `http://127.0.0.1:9000`. */
    readonly origin: string;
    /** The most connections at once. */
    readonly connections: number;
    /** Milliseconds until opening a connection is given up. */
    readonly connectTimeout: number;
}

/**
 * Posts MessagePack bodies to an engine and turns every error of the HTTP client into a failure.
 *
 * @internal
 */
export class EngineClient {
    private readonly pool: Pool;

    constructor(private readonly options: EngineClientOptions) {
        this.pool = new Pool(options.origin, {
            connections: options.connections,
            connect: { timeout: options.connectTimeout },
            // Timeouts come from the clock instead.
            headersTimeout: 0,
            bodyTimeout: 0,
        });
    }

    /**
     * Posts a body and lets a function take the pieces of the answer.
     *
     * @param path - The path of the call.
     * @param body - Any value that MessagePack can carry.
     * @param timeout - Milliseconds until the call is given up.
     * @param take - Takes a piece of the answer; false ends the call as a violation of the protocol.
     */
    async post(path: string, body: unknown, timeout: number, take: (piece: Buffer) => boolean): Promise<Outcome<void>> {
        const controller = new AbortController();
        const timer = this.options.clock.schedule(() => controller.abort(timeoutError()), timeout);
        try {
            const response = await this.pool.request({
                path,
                method: "POST",
                headers: { "content-type": contentType },
                body: pack(body),
                signal: controller.signal,
            });
            return await receive(response, take);
        }
        catch (error) {
            return Result.err(connectionFailure(error));
        }
        finally {
            timer.cancel();
        }
    }

    /** Closes every connection; calls under way are lost. */
    async close(): Promise<void> {
        await this.pool.destroy();
    }
}

async function receive(response: Dispatcher.ResponseData, take: (piece: Buffer) => boolean): Promise<Outcome<void>> {
    if (response.statusCode !== statusOk) {
        await response.body.dump();
        return protocolViolation(`the engine answered with status ${response.statusCode}`);
    }
    for await (const piece of response.body) {
        if (!take(piece as Buffer)) {
            return protocolViolation("the engine's answer cannot be read");
        }
    }
    return Result.ok(undefined);
}

function timeoutError(): Error {
    const error = new Error("the engine did not answer in time");
    error.name = timeoutErrorName;
    return error;
}
