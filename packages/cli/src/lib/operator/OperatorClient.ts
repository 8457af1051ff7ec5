import { createWatchedPool } from "@waxwingspar/connections/pool";
import {
    type Clock,
    type Failure,
    failure,
    findResultCode,
    type Outcome,
    sleep,
    transportCodes,
} from "@waxwingspar/utils";
import { Result } from "true-myth";
import { type Dispatcher } from "undici";
import { z } from "zod";

const maxAttempts = 4;
/** Milliseconds; the back-off after the n-th attempt is this value times 2 to the power of n. */
const backoffBase = 250;
/** Milliseconds until the head of an answer must have arrived. */
const answerTimeout = 30_000;
/** Characters that are kept of an incomplete line. */
const maxLine = 8 * 1024 * 1024;

/** @internal */
export interface OperatorClientOptions {
    /** Where the API listens, such as `http://127.0.0.1:8081`. */
    readonly server: string;
    readonly token?: string;
    readonly clock: Clock;
}

/** A request to the resource API. @internal */
export interface OperatorRequest {
    readonly method: "GET" | "PUT" | "POST" | "DELETE";
    /** The path and query below `/v1/`. */
    readonly path: string;
    readonly body?: unknown;
    readonly headers?: Readonly<Record<string, string>>;
}

/** A failure that the API reported. @internal */
export interface ApiFailure extends Failure {
    /** The resource at fault, as `kind/name`. */
    readonly resource?: string;
}

/** The API's answer: a body, or all failures. @internal */
export type ApiReply = Result<unknown, readonly ApiFailure[]>;

const errorsSchema = z.object({
    errors: z.array(z.object({
        code: z.number(),
        message: z.string(),
        path: z.string().optional(),
        resource: z.string().optional(),
        retryAfter: z.number().optional(),
    })).min(1),
});

/**
 * Client of the resource API of one process.
 *
 * @internal
 */
export class OperatorClient {
    private readonly pool: Dispatcher;

    constructor(private readonly options: OperatorClientOptions) {
        this.pool = createWatchedPool(new URL(options.server).origin);
    }

    /**
     * Sends a request, and retries it if the connection or the store failed. Callers add an `idempotency-key` to
     * changes, so that none is applied twice.
     */
    async send(asked: OperatorRequest): Promise<ApiReply> {
        for (let attempt = 1;; attempt++) {
            const reply = await this.sendOnce(asked);
            if (reply.isOk || attempt === maxAttempts || !reply.error.every(isTemporary)) {
                return reply;
            }
            await sleep(this.options.clock, backoffBase * 2 ** attempt);
        }
    }

    /** Reads lines of JSON until the API ends the response or the signal aborts. */
    async *lines(path: string, signal?: AbortSignal): AsyncGenerator<Outcome<string>> {
        const { server } = this.options;
        let rest = "";
        try {
            const response = await this.pool.request({
                path: `/v1/${path}`,
                method: "GET",
                headers: this.headers(),
                signal,
                bodyTimeout: 0,
            });
            if (response.statusCode !== 200) {
                yield* readFailures(await response.body.text()).map(one => Result.err<string, Failure>(one));
                return;
            }
            for await (const part of response.body as AsyncIterable<Buffer>) {
                const lines = (rest + part.toString()).split("\n");
                rest = (lines.pop() ?? "").slice(0, maxLine);
                yield* lines.filter(line => line !== "").map(line => Result.ok<string, Failure>(line));
            }
        }
        catch (error) {
            if (signal?.aborted !== true) {
                yield Result.err(unreachable(server, error));
            }
        }
    }

    private async sendOnce({ method, path, body, headers }: OperatorRequest): Promise<ApiReply> {
        const { server } = this.options;
        try {
            const response = await this.pool.request({
                path: `/v1/${path}`,
                method,
                headers: { ...this.headers(), "content-type": "application/json", ...headers },
                body: body === undefined ? undefined : JSON.stringify(body),
                headersTimeout: answerTimeout,
            });
            const text = await response.body.text();
            return response.statusCode < 300 ? Result.ok(JSON.parse(text) as unknown) : Result.err(readFailures(text));
        }
        catch (error) {
            return Result.err([unreachable(server, error)]);
        }
    }

    private headers(): Record<string, string> {
        const { token } = this.options;
        return token === undefined ? {} : { authorization: `Bearer ${token}` };
    }
}

function isTemporary({ code }: Failure): boolean {
    return code.retry !== "no";
}

function readFailures(text: string): ApiFailure[] {
    const parsed = errorsSchema.safeParse(parseJson(text));
    if (!parsed.success) {
        return [failure(transportCodes.protocolViolation, "the response does not have the form of the resource API")];
    }
    return parsed.data.errors.map(({ code, message, path, resource, retryAfter }) => ({
        ...failure(findResultCode(code) ?? transportCodes.protocolViolation, message, { path, retryAfter }),
        resource,
    }));
}

function parseJson(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
}

/** Reports a request without an answer as a lost connection, since it is unknown whether the API executed it. */
function unreachable(server: string, error: unknown): Failure {
    const reason = error instanceof Error ? error.message : "no answer";
    return failure(transportCodes.connectionLost, `${server}: ${reason}`);
}
