import { createSideServer, type GuardedServer, ServerStop } from "@waxwingspar/connections";
import {
    type Clock,
    type Failure,
    failure,
    type Outcome,
    platformCodes,
    requestCodes,
    transportCodes,
} from "@waxwingspar/utils";
import { type IncomingMessage, type ServerResponse } from "node:http";
import { Result } from "true-myth";
import { type Kind } from "../resources/Resource.js";
import { type ResourceStore } from "../store/ResourceStore.js";
import { failureAnswer, sendAnswer } from "./answers.js";
import { type ApiNode, type ApiRequest, type RouteOutcome } from "./ApiContext.js";
import { ChangeRoutes } from "./changeRoutes.js";
import { OperatorAuthenticator, type OperatorAuthenticatorOptions } from "./OperatorAuthenticator.js";
import { ReadRoutes } from "./readRoutes.js";
import { WatchRoute } from "./WatchRoute.js";

const apiVersion = "v1";
/** Maximum number of connections, of which each watch needs one. */
const maxConnections = 256;
/** Bytes of requests and of answers that have not been read, for all connections together. */
const maxBytes = 67_108_864;

/** Milliseconds in which the API closes, whatever its clients do. @internal */
export const closeTime = 5_000;

/** Handles a path outside the API, such as `/metrics`. Such paths require no token. @public */
export type PlainHandler = (message: IncomingMessage, response: ServerResponse) => void | Promise<void>;

/** A summary of an answered request, without secrets. @public */
export interface AnsweredRequest {
    readonly operator?: string;
    readonly method: string;
    readonly path: string;
    readonly status: number;
    /** Milliseconds from the arrival of the request to its response. */
    readonly duration: number;
}

/**
 * Options of {@link ResourceApi}.
 *
 * @public
 */
export interface ResourceApiOptions extends OperatorAuthenticatorOptions {
    readonly node: ApiNode;
    readonly store: ResourceStore;
    readonly clock: Clock;
    /** The IP address to listen on. */
    readonly host?: string;
    /** The port; 0 lets the operating system choose. */
    readonly port?: number;
    /** Kinds that operators may not write because only control duties do. */
    readonly protectedKinds?: readonly Kind[];
    /** Handlers by path, such as `/metrics`. `/healthz` and `/readyz` have defaults. */
    readonly handlers?: Readonly<Record<string, PlainHandler>>;
    readonly onAnswered?: (request: AnsweredRequest) => void;
}

/**
 * The operator API over HTTP. docs/RESOURCES.md describes its requests and responses.
 *
 * @public
 */
export class ResourceApi {
    private readonly options: ResourceApiOptions;
    private readonly server: GuardedServer;
    private readonly stopping: ServerStop;
    /** The requests that have no answer yet. */
    private readonly open = new Map<ServerResponse, IncomingMessage>();
    private readonly authenticator: OperatorAuthenticator;
    private readonly reads: ReadRoutes;
    private readonly changes: ChangeRoutes;
    private readonly watches: WatchRoute;
    private readonly handlers: Readonly<Record<string, PlainHandler>>;

    constructor(options: ResourceApiOptions) {
        this.options = options;
        const { node, protectedKinds = ["placement"] } = options;
        this.authenticator = new OperatorAuthenticator(node.state, options);
        this.reads = new ReadRoutes(options);
        this.changes = new ChangeRoutes(options, protectedKinds);
        this.watches = new WatchRoute(options, ({ message }) => this.authenticate(message).isOk);
        this.handlers = {
            "/healthz": (_message, response) => sendAnswer(response, { status: 200, body: { healthy: true } }),
            "/readyz": (_message, response) => this.readiness(response),
            ...options.handlers,
        };
        this.server = createSideServer({
            clock: options.clock,
            maxConnections,
            maxBytes,
            onRequest: (message, response) => void this.handle(message, response),
        });
        this.stopping = new ServerStop({ clock: options.clock, server: this.server });
    }

    /** Starts listening. Returns the port. */
    listen(): Promise<Outcome<number>> {
        const { host = "127.0.0.1", port = 0 } = this.options;
        return new Promise(resolve => {
            const fail = (error: Error) => resolve(Result.err(failure(transportCodes.notConnected, error.message)));
            const { http } = this.server;
            http.once("error", fail);
            http.listen(port, host, () => {
                http.off("error", fail);
                const address = http.address();
                resolve(Result.ok(typeof address === "object" && address !== null ? address.port : port));
            });
        });
    }

    /**
     * Stops listening and ends all watches. Resolves once all other requests have been answered, or with what is known
     * of their outcome after {@link closeTime}.
     */
    close(): Promise<void> {
        const closed = this.stopping.run({ limit: closeTime, endAll: () => this.endAll() });
        this.watches.close();
        return closed;
    }

    private endAll(): void {
        for (const [response, { method, complete }] of this.open) {
            if (!response.headersSent) {
                const mayHaveRun = method !== "GET" && complete;
                sendAnswer(response, failureAnswer([mayHaveRun ? outcomeUnknown() : stopping()]));
            }
        }
    }

    private async handle(message: IncomingMessage, response: ServerResponse): Promise<void> {
        if (this.stopping.isFinishing) {
            sendAnswer(response, failureAnswer([stopping()]));
            return;
        }
        this.open.set(response, message);
        response.once("close", () => this.open.delete(response));
        const started = this.options.clock.now();
        const method = message.method ?? "GET";
        const url = parseUrl(message.url ?? "/");
        const path = url.pathname;
        const operator = this.authenticate(message);
        const handler = Object.hasOwn(this.handlers, path) ? this.handlers[path] : undefined;
        if (handler !== undefined) {
            await handler(message, response);
        }
        else {
            const query = url.searchParams;
            const outcome = operator.isErr
                ? Result.err<undefined, [typeof operator.error]>([operator.error])
                : await this.route({
                    operator: operator.value,
                    method,
                    path: splitPath(path),
                    query,
                    message,
                    response,
                });
            this.answer(response, outcome);
        }
        const name = operator.isOk ? operator.value.name : undefined;
        const duration = this.options.clock.now() - started;
        this.options.onAnswered?.({ operator: name, method, path, status: response.statusCode, duration });
    }

    private answer(response: ServerResponse, outcome: RouteOutcome): void {
        if (outcome.isErr) {
            sendAnswer(response, failureAnswer(outcome.error));
        }
        else if (outcome.value !== undefined) {
            sendAnswer(response, outcome.value);
        }
    }

    private authenticate(message: IncomingMessage) {
        return this.authenticator.authenticate(message.headers.authorization);
    }

    private route(request: ApiRequest): Promise<RouteOutcome> | RouteOutcome {
        const [version, area, ...path] = request.path;
        if (version !== apiVersion) {
            return refuse(requestCodes.noSuchRoute, "API paths start with /v1");
        }
        if (!this.options.node.ready) {
            return refuse(platformCodes.storeUnavailable, "this process has not loaded the configuration yet");
        }
        if (request.method !== "GET" && request.operator.role !== "operator") {
            return refuse(requestCodes.forbidden, `credential ${request.operator.name} has read-only access`);
        }
        return this.routeArea(`${request.method} ${area}`, { ...request, path });
    }

    private routeArea(area: string, request: ApiRequest): Promise<RouteOutcome> | RouteOutcome {
        const depth = request.path.length;
        if (area === "GET resources" && depth <= 2) {
            return this.reads.resources(request);
        }
        if ((area === "PUT resources" && depth === 2) || (area === "POST resources" && depth === 1)) {
            return this.changes.write(request);
        }
        if (area === "DELETE resources" && depth === 2) {
            return this.changes.remove(request);
        }
        if (area === "POST apply" && depth === 0) {
            return this.changes.applyAll(request);
        }
        if (area === "GET status" && depth === 0) {
            return this.reads.status();
        }
        if (area === "GET watch" && depth === 0) {
            return this.watches.watch(request);
        }
        return refuse(requestCodes.noSuchRoute, "no route matches this method and path");
    }

    private readiness(response: ServerResponse): void {
        const { ready, state } = this.options.node;
        sendAnswer(response, { status: ready ? 200 : 503, body: { ready, revision: state.revision } });
    }
}

function stopping(): Failure {
    return failure(requestCodes.stopping, "this process is stopping");
}

function outcomeUnknown(): Failure {
    return failure(requestCodes.outcomeUnknown, "the process stopped before the change was confirmed");
}

function refuse(code: Parameters<typeof failure>[0], message: string): RouteOutcome {
    return Result.err([failure(code, message)]);
}

function parseUrl(text: string): URL {
    const base = "http://localhost";
    return URL.canParse(text, base) ? new URL(text, base) : new URL(base);
}

function splitPath(path: string): string[] {
    return path.split("/").filter(part => part !== "").map(decodePart);
}

function decodePart(part: string): string {
    try {
        return decodeURIComponent(part);
    }
    catch {
        return part;
    }
}
