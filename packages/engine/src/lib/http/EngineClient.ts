import { createWatchedPool } from "@waxwingspar/connections/pool";
import { type Clock, type Outcome } from "@waxwingspar/utils";
import { pack } from "msgpackr";
import { Result } from "true-myth";
import { type Dispatcher, type Pool } from "undici";
import { connectionFailure, timeoutErrorName } from "./connectionFailure.js";
import { protocolViolation } from "./wireOutcome.js";

const contentType = "application/msgpack";
const statusOk = 200;

/** @internal */
export interface EngineClientOptions {
    readonly clock: Clock;
    /** The origin of the engine's URL, such as `http://127.0.0.1:9000`. */
    readonly origin: string;
    /** Maximum number of concurrent connections. */
    readonly connections: number;
    /** Milliseconds before an attempt to open a connection times out. */
    readonly connectTimeout: number;
}

/**
 * Posts MessagePack bodies to an engine and converts every error of the HTTP client to a failure.
 *
 * @internal
 */
export class EngineClient {
    private readonly pool: Pool;

    constructor(private readonly options: EngineClientOptions) {
        this.pool = createWatchedPool(options.origin, {
            connections: options.connections,
            connect: { timeout: options.connectTimeout },
            // The clock implements the timeouts instead, so that tests can control them.
            headersTimeout: 0,
            bodyTimeout: 0,
        });
    }

    /**
     * Posts a body and passes the chunks of the response to a function.
     *
     * @param path - The path of the method.
     * @param body - Any value that MessagePack can encode.
     * @param timeout - Milliseconds before the call times out.
     * @param onChunk - Handles a chunk; returns false if it is invalid, which fails the call as a protocol violation.
     */
    async post(
        path: string,
        body: unknown,
        timeout: number,
        onChunk: (chunk: Buffer) => boolean,
    ): Promise<Outcome<void>> {
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
            return await readResponse(response, onChunk);
        }
        catch (error) {
            return Result.err(connectionFailure(error));
        }
        finally {
            timer.cancel();
        }
    }

    /** Closes every connection; calls in flight fail. */
    async close(): Promise<void> {
        await this.pool.destroy();
    }
}

async function readResponse(
    response: Dispatcher.ResponseData,
    onChunk: (chunk: Buffer) => boolean,
): Promise<Outcome<void>> {
    if (response.statusCode !== statusOk) {
        await response.body.dump();
        return protocolViolation(`expected status 200 from the engine, got ${response.statusCode}`);
    }
    for await (const chunk of response.body) {
        if (!onChunk(chunk as Buffer)) {
            return protocolViolation("the engine's response is invalid or too long");
        }
    }
    return Result.ok(undefined);
}

function timeoutError(): Error {
    const error = new Error("the engine did not respond within the timeout");
    error.name = timeoutErrorName;
    return error;
}
