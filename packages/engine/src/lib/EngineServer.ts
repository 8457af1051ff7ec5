import { failure, type Outcome, requestCodes } from "@waxwingspar/utils";
import { pack } from "msgpackr";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { type AddressInfo } from "node:net";
import { Result } from "true-myth";
import { type Engine, type Step } from "./Engine.js";
import { type EngineMethod, engineMethods, type MethodInput, methodPath, stepsSchema } from "./http/engineMethods.js";
import { toFrame } from "./http/frames.js";
import { toWireOutcome, unpackBody } from "./http/wireOutcome.js";

/**
 * Options of {@link EngineServer}.
 *
 * @public
 */
export interface EngineServerOptions {
    readonly engine: Engine;
    /** Maximum size of a request body in bytes. */
    readonly bodyLimit?: number;
}

type Handlers = { readonly [Name in EngineMethod]: (input: MethodInput<Name>) => Promise<Outcome<unknown>>; };

const responseHeaders = { "content-type": "application/msgpack" };
const defaultBodyLimit = 64 * 1024 * 1024;

/**
 * Serves an engine over HTTP to `HttpEngine` clients. Tests and trials use it in place of a real engine server.
 *
 * @public
 */
export class EngineServer {
    private readonly server: Server;
    private readonly handlers: Handlers;
    private readonly bodyLimit: number;

    constructor(private readonly options: EngineServerOptions) {
        this.bodyLimit = options.bodyLimit ?? defaultBodyLimit;
        this.handlers = createHandlers(options.engine);
        this.server = createServer((request, response) => void this.serve(request, response));
    }

    /**
     * Starts listening.
     *
     * @param port - The port; 0 lets the operating system choose one.
     * @param host - The IP address.
     * @returns The port that the server listens on.
     */
    listen(port = 0, host = "127.0.0.1"): Promise<number> {
        return new Promise((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(port, host, () => resolve((this.server.address() as AddressInfo).port));
        });
    }

    /** Stops listening and closes every connection immediately, as if the engine's host had crashed. */
    async stop(): Promise<void> {
        const closed = new Promise(resolve => this.server.close(resolve));
        this.server.closeAllConnections();
        await closed;
    }

    private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
        // The client detects a broken connection itself; the server cannot report it to anyone.
        response.on("error", () => {});
        const body = await readBody(request, this.bodyLimit);
        if (body === undefined) {
            response.destroy();
            return;
        }
        if (request.url === methodPath("steps")) {
            await this.serveSteps(body, response);
            return;
        }
        const outcome = await this.callMethod(request.url ?? "", body);
        response.writeHead(200, responseHeaders).end(pack(toWireOutcome(outcome)));
    }

    private async serveSteps(body: Buffer, response: ServerResponse): Promise<void> {
        const steps = stepsSchema.safeParse(unpackBody(body));
        if (!steps.success) {
            response.writeHead(400).end();
            return;
        }
        response.writeHead(200, responseHeaders).flushHeaders();
        await Promise.all(steps.data.map((step, index) => this.serveStep(step, index, response)));
        response.end();
    }

    private async serveStep(step: Step, index: number, response: ServerResponse): Promise<void> {
        const outcome = await this.options.engine.step(step);
        // The client may have disconnected while the step ran.
        if (response.destroyed) {
            return;
        }
        response.write(toFrame(pack([index, toWireOutcome(outcome)])));
    }

    private async callMethod(path: string, body: Buffer): Promise<Outcome<unknown>> {
        const method = (Object.keys(engineMethods) as EngineMethod[]).find(name => path === methodPath(name));
        if (method === undefined) {
            return Result.err(failure(requestCodes.noSuchRoute, "the engine has no method with this path"));
        }
        const input = engineMethods[method].input.safeParse(unpackBody(body));
        if (!input.success) {
            return Result.err(
                failure(requestCodes.malformed, "the request body does not match the schema of the method"),
            );
        }
        // The schema above has validated the input of this handler, which the compiler cannot relate to the method.
        return this.handlers[method](input.data as never);
    }
}

function createHandlers(engine: Engine): Handlers {
    return {
        info: () => engine.info(),
        tokenize: ({ model, text }) => engine.tokenize(model, text),
        open: session => engine.open(session),
        close: async ({ session }) => {
            await engine.close(session);
            return Result.ok(undefined);
        },
        exportCache: ({ session }) => engine.exportCache(session),
        importCache: ({ session, data }) => engine.importCache(session, data),
        load: () => engine.load(),
        cacheEvents: ({ after }) => engine.cacheEvents(after),
        order: order => engine.order(order),
    };
}

/** Reads a request body; returns undefined if it exceeds the limit or the connection breaks. */
async function readBody(request: IncomingMessage, limit: number): Promise<Buffer | undefined> {
    const chunks: Buffer[] = [];
    let bytes = 0;
    try {
        for await (const chunk of request as AsyncIterable<Buffer>) {
            bytes += chunk.length;
            if (bytes > limit) {
                return undefined;
            }
            chunks.push(chunk);
        }
    }
    catch {
        return undefined;
    }
    return Buffer.concat(chunks);
}
