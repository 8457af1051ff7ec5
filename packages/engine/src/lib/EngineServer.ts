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
    /** The most bytes of one request's body. */
    readonly bodyLimit?: number;
}

type Handlers = { readonly [Name in EngineMethod]: (input: MethodInput<Name>) => Promise<Outcome<unknown>>; };

const contentType = { "content-type": "application/msgpack" };
const defaultBodyLimit = 64 * 1024 * 1024;

/**
 * Puts an engine behind HTTP, as the other end of `HttpEngine`. It is the stand-in for an engine in tests and trials.
 *
 * @public
 */
export class EngineServer {
    private readonly server: Server;
    private readonly handlers: Handlers;
    private readonly bodyLimit: number;

    constructor(private readonly options: EngineServerOptions) {
        this.bodyLimit = options.bodyLimit ?? defaultBodyLimit;
        this.handlers = handlersOf(options.engine);
        this.server = createServer((request, response) => void this.serve(request, response));
    }

    /**
     * Starts to listen.
     *
     * @param port - The port; 0 lets the system choose.
     * @param host - The IP address.
     * @returns The port in use.
     */
    listen(port = 0, host = "127.0.0.1"): Promise<number> {
        return new Promise((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(port, host, () => resolve((this.server.address() as AddressInfo).port));
        });
    }

    /** Stops listening and cuts every connection, as if the engine's host had died. */
    async stop(): Promise<void> {
        const closed = new Promise(resolve => this.server.close(resolve));
        this.server.closeAllConnections();
        await closed;
    }

    private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
        // A connection that breaks is the caller's to notice; there is nobody left to tell.
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
        response.writeHead(200, contentType).end(pack(toWireOutcome(outcome)));
    }

    private async serveSteps(body: Buffer, response: ServerResponse): Promise<void> {
        const steps = stepsSchema.safeParse(unpackBody(body));
        if (!steps.success) {
            response.writeHead(400).end();
            return;
        }
        response.writeHead(200, contentType).flushHeaders();
        await Promise.all(steps.data.map((step, index) => this.serveStep(step, index, response)));
        response.end();
    }

    private async serveStep(step: Step, index: number, response: ServerResponse): Promise<void> {
        const outcome = await this.options.engine.step(step);
        // The caller may have gone while the step ran.
        if (response.destroyed) {
            return;
        }
        response.write(toFrame(pack([index, toWireOutcome(outcome)])));
    }

    private async callMethod(path: string, body: Buffer): Promise<Outcome<unknown>> {
        const method = (Object.keys(engineMethods) as EngineMethod[]).find(name => path === methodPath(name));
        if (method === undefined) {
            return Result.err(failure(requestCodes.noSuchRoute, "the engine has no such call"));
        }
        const input = engineMethods[method].input.safeParse(unpackBody(body));
        if (!input.success) {
            return Result.err(failure(requestCodes.malformed, "the body fails its schema"));
        }
        // The schema of the method has just checked the input that its handler takes.
        return this.handlers[method](input.data as never);
    }
}

function handlersOf(engine: Engine): Handlers {
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

/** Reads a body; undefined if it is too long or breaks off. */
async function readBody(request: IncomingMessage, limit: number): Promise<Buffer | undefined> {
    const pieces: Buffer[] = [];
    let bytes = 0;
    try {
        for await (const piece of request as AsyncIterable<Buffer>) {
            bytes += piece.length;
            if (bytes > limit) {
                return undefined;
            }
            pieces.push(piece);
        }
    }
    catch {
        return undefined;
    }
    return Buffer.concat(pieces);
}
