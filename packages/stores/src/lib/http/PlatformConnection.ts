import { createWatchedPool } from "@waxwingspar/connections/pool";
import { failure, type Outcome, platformCodes } from "@waxwingspar/utils";
import { Result } from "true-myth";
import { type Pool } from "undici";
import {
    answerSchema,
    platformCalls,
    type PlatformParams,
    type PlatformPath,
    type PlatformResult,
    toFailure,
    unknownOutcome,
} from "./wire.js";

/**
 * Options of a {@link PlatformConnection}.
 *
 * @public
 */
export interface PlatformConnectionOptions {
    /** The origin of the platform's HTTP interface, such as `http://127.0.0.1:8090`. */
    readonly origin: string;
    /** The maximum number of open connections. */
    readonly connections?: number;
    /** Milliseconds to wait for a connection. */
    readonly connectTimeout?: number;
    /** Milliseconds to wait for a response. The store client's own timeout is shorter. */
    readonly answerTimeout?: number;
    /** The largest response that is accepted, in bytes. */
    readonly maxAnswerBytes?: number;
}

const defaults = {
    connections: 4,
    connectTimeout: 1_000,
    answerTimeout: 10_000,
    maxAnswerBytes: 64 * 1024 * 1024,
};

/** Errors that undici or the operating system report before any byte of the request was sent. */
const connectErrors = new Set(["UND_ERR_CONNECT_TIMEOUT", "ECONNREFUSED", "ENOTFOUND", "EAI_AGAIN"]);
const tooManyRequests = 429;

/**
 * Calls the platform's HTTP interface. A failed connection attempt and an explicit refusal return `storeUnavailable`;
 * any other fault returns `storeUnknown`, since the call may have taken effect.
 *
 * @public
 */
export class PlatformConnection {
    private readonly pool: Pool;
    private newestEra = 0;

    constructor(options: PlatformConnectionOptions) {
        const { origin, connections, connectTimeout, answerTimeout, maxAnswerBytes } = { ...defaults, ...options };
        this.pool = createWatchedPool(origin, {
            connections,
            connect: { timeout: connectTimeout },
            headersTimeout: answerTimeout,
            bodyTimeout: answerTimeout,
            maxResponseSize: maxAnswerBytes,
        });
    }

    /** The newest era of the table service reported in a response. A delayed, older response does not lower it. */
    get tableEra(): number {
        return this.newestEra;
    }

    /**
     * Makes one call.
     *
     * @internal
     */
    async call<P extends PlatformPath>(path: P, params: PlatformParams<P>): Promise<Outcome<PlatformResult<P>>> {
        try {
            const response = await this.pool.request({
                path,
                method: "POST",
                headers: { "content-type": "application/json" },
                body: JSON.stringify(params),
            });
            const text = await response.body.text();
            return this.readAnswer(path, response.statusCode, text);
        }
        catch (error) {
            return toFailedOutcome(error);
        }
    }

    /** Closes all connections once their calls have ended. */
    close(): Promise<void> {
        return this.pool.close();
    }

    private readAnswer<P extends PlatformPath>(path: P, status: number, text: string): Outcome<PlatformResult<P>> {
        const answer = answerSchema.safeParse(parseJson(text));
        if (!answer.success) {
            return status === tooManyRequests
                ? unavailable("rate exceeded")
                : unknownOutcome(`invalid response with HTTP status ${status}`);
        }
        const { failure: refusal, value: content, tableEra } = answer.data;
        this.newestEra = Math.max(this.newestEra, tableEra ?? 0);
        if (refusal !== undefined) {
            return Result.err(toFailure(refusal));
        }
        const value = platformCalls[path].result.safeParse(content);
        return value.success
            ? Result.ok(value.data as PlatformResult<P>)
            : unknownOutcome("response does not match its schema");
    }
}

function parseJson(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
}

function toFailedOutcome(error: unknown): Outcome<never> {
    const code = errorCode(error);
    return connectErrors.has(code) ? unavailable(code) : unknownOutcome(code);
}

function errorCode(error: unknown): string {
    if (error instanceof AggregateError && error.errors.length > 0) {
        const codes = error.errors.map(errorCode);
        return codes.find(code => !connectErrors.has(code)) ?? codes[0] ?? "";
    }
    if (error instanceof Error) {
        return "code" in error && typeof error.code === "string" ? error.code : error.message;
    }
    return String(error);
}

function unavailable(message: string): Outcome<never> {
    return Result.err(failure(platformCodes.storeUnavailable, message));
}
