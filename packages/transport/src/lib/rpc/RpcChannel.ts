import {
    type Clock,
    type Failure,
    failure,
    findResultCode,
    type Outcome,
    type Timer,
    transportCodes,
} from "@waxwingspar/utils";
import {
    createJSONRPCErrorResponse,
    isJSONRPCRequest,
    isJSONRPCResponse,
    JSONRPCClient,
    type JSONRPCError,
    JSONRPCErrorCode,
    JSONRPCErrorException,
    type JSONRPCID,
    type JSONRPCRequest,
    type JSONRPCResponse,
    JSONRPCServer,
} from "json-rpc-2.0";
import { Result } from "true-myth";
import { z } from "zod";
import { type Link, type RpcMethod } from "../Link.js";

/** The fields of a failure other than its code and message. */
const errorDataSchema = z.object({ retryAfter: z.number().optional(), path: z.string().optional() });

/** @internal */
export interface RpcChannelOptions {
    readonly clock: Clock;
    readonly methods: Readonly<Record<string, RpcMethod>>;
    /** The link on which calls arrive; it is passed to the methods. */
    readonly link: Link;
    /** Sends a JSON-RPC request or response to the peer. */
    readonly send: (body: unknown) => void;
}

/**
 * JSON-RPC 2.0 in both directions of one link.
 *
 * @internal
 */
export class RpcChannel {
    private readonly client: JSONRPCClient;
    private readonly server = new JSONRPCServer({ errorListener: () => undefined });
    private readonly names: ReadonlySet<string>;
    private readonly timers = new Map<JSONRPCID, Timer>();
    private nextId = 1;
    private closed = false;

    constructor(private readonly options: RpcChannelOptions) {
        this.client = new JSONRPCClient(request => options.send(request));
        this.names = new Set(Object.keys(options.methods));
        for (const [name, method] of Object.entries(options.methods)) {
            this.server.addMethod(name, async params => this.answer(method, params));
        }
    }

    /** Calls a method of the peer; see {@link Link.request}. */
    async request(method: string, params: unknown, timeout: number): Promise<Outcome<unknown>> {
        if (this.closed) {
            return Result.err(failure(transportCodes.notConnected, "the link is closed"));
        }
        const id = this.nextId++;
        const expire = () => this.fail(id, transportCodes.requestTimeout.number, `no answer to ${method}`);
        this.timers.set(id, this.options.clock.schedule(expire, timeout));
        const response = await this.client.requestAdvanced({ jsonrpc: "2.0", id, method, params });
        this.timers.get(id)?.cancel();
        this.timers.delete(id);
        return toOutcome(response);
    }

    /** Sends a notification, which has no answer. */
    notify(method: string, params: unknown): void {
        this.client.notify(method, params);
    }

    /** Handles a JSON-RPC body from the peer. Returns false if it is neither a request nor a response. */
    receive(body: unknown): boolean {
        if (isJSONRPCResponse(body)) {
            this.client.receive(body);
            return true;
        }
        if (!isJSONRPCRequest(body)) {
            return false;
        }
        // The library looks up method names in a plain object, where "constructor" would be found.
        if (!this.names.has(body.method)) {
            this.refuse(body);
            return true;
        }
        void this.server.receive(body).then(response => {
            if (response !== null && !this.closed) {
                this.options.send(response);
            }
        });
        return true;
    }

    /** Ends every pending call with `connectionLost`, since its outcome is unknown. */
    close(): void {
        this.closed = true;
        for (const id of [...this.timers.keys()]) {
            this.fail(id, transportCodes.connectionLost.number, "the link closed before an answer arrived");
        }
    }

    private refuse(request: JSONRPCRequest): void {
        if (request.id !== undefined && request.id !== null) {
            const message = `no method ${request.method}`;
            this.options.send(createJSONRPCErrorResponse(request.id, JSONRPCErrorCode.MethodNotFound, message));
        }
    }

    private fail(id: JSONRPCID, code: number, message: string): void {
        this.client.receive(createJSONRPCErrorResponse(id, code, message));
    }

    private async answer(method: RpcMethod, params: unknown): Promise<unknown> {
        const outcome = await method(params, this.options.link);
        if (outcome.isErr) {
            throw toException(outcome.error);
        }
        return outcome.value ?? null;
    }
}

function toException(error: Failure): JSONRPCErrorException {
    const { retryAfter, path } = error;
    return new JSONRPCErrorException(error.message, error.code.number, { retryAfter, path });
}

function toOutcome(response: JSONRPCResponse): Outcome<unknown> {
    if (response.error === undefined) {
        return Result.ok(response.result as unknown);
    }
    return Result.err(toFailure(response.error));
}

function toFailure(error: JSONRPCError): Failure {
    if (error.code === Number(JSONRPCErrorCode.MethodNotFound)) {
        return failure(transportCodes.noSuchMethod, error.message);
    }
    const code = findResultCode(error.code) ?? transportCodes.protocolViolation;
    const data = errorDataSchema.safeParse(error.data ?? {});
    return failure(code, error.message, data.success ? data.data : {});
}
