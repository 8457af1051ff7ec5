import { type Outcome, platformCodes } from "@waxwingspar/utils";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { type AddressInfo } from "node:net";
import { Result } from "true-myth";
import { type MemoryLiveList } from "../memory/MemoryLiveList.js";
import { type MemoryObjectStore } from "../memory/MemoryObjectStore.js";
import { type MemoryTableStore } from "../memory/MemoryTableStore.js";
import { type MemoryWeightStore } from "../memory/MemoryWeightStore.js";
import { platformCalls, type PlatformParams, type PlatformPath, toAnswer } from "./wire.js";

/**
 * The in-memory services that a {@link PlatformServer} serves.
 *
 * @public
 */
export interface PlatformServerOptions {
    readonly table: MemoryTableStore;
    readonly objects: MemoryObjectStore;
    readonly live: MemoryLiveList;
    readonly weights: MemoryWeightStore;
    /** The largest request body that is accepted, in bytes. */
    readonly maxBodyBytes?: number;
}

const defaultMaxBodyBytes = 64 * 1024 * 1024;
const statusOk = 200;
const statusBadRequest = 400;
const statusNotFound = 404;
const statusTooLarge = 413;

type Handlers = { readonly [P in PlatformPath]: (params: PlatformParams<P>) => Promise<Outcome<unknown>>; };

/**
 * Serves the in-memory services over HTTP, for tests with several processes and for trials. Paths below `/admin` set
 * faults and the live list, so it must listen on the loopback address only.
 *
 * @public
 */
export class PlatformServer {
    private readonly server: Server;
    private readonly handlers: Handlers;
    private readonly maxBodyBytes: number;
    private readonly table: MemoryTableStore;

    constructor(options: PlatformServerOptions) {
        this.maxBodyBytes = options.maxBodyBytes ?? defaultMaxBodyBytes;
        this.table = options.table;
        this.handlers = { ...serviceHandlers(options), ...adminHandlers(options) };
        this.server = createServer((request, response) => void this.serve(request, response));
    }

    /**
     * Starts to listen on the loopback address.
     *
     * @param port - The port; 0 lets the operating system choose.
     * @returns The origin to connect to.
     */
    listen(port = 0): Promise<string> {
        return new Promise((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(port, "127.0.0.1", () => {
                resolve(`http://127.0.0.1:${(this.server.address() as AddressInfo).port}`);
            });
        });
    }

    /** Closes the server and its connections. */
    close(): Promise<void> {
        return new Promise(resolve => {
            this.server.close(() => resolve());
            this.server.closeAllConnections();
        });
    }

    private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const path = request.url ?? "";
        if (request.method !== "POST" || !Object.hasOwn(platformCalls, path)) {
            end(response, statusNotFound);
            return;
        }
        const body = await readBody(request, this.maxBodyBytes);
        if (body === undefined) {
            end(response, statusTooLarge);
            return;
        }
        const params = parseParams(path as PlatformPath, body);
        if (params === undefined) {
            end(response, statusBadRequest);
            return;
        }
        const handler = this.handlers[path as PlatformPath] as (params: unknown) => Promise<Outcome<unknown>>;
        sendOutcome(response, await handler(params), this.table.era);
    }
}

function serviceHandlers({ table, objects, live, weights }: PlatformServerOptions): Omit<Handlers, AdminPath> {
    return {
        "/table/get": ({ key }) => table.get(key),
        "/table/scan": ({ prefix, after, limit }) => table.scan(prefix, after, limit),
        "/table/commit": transaction => table.commit(transaction),
        "/table/find-commit": ({ writeId }) => table.findCommit(writeId),
        "/objects/put": ({ name, data }) => objects.put(name, Buffer.from(data, "base64")),
        "/objects/get": async ({ name }) => {
            const outcome = await objects.get(name);
            return outcome.map(data => data === undefined ? undefined : Buffer.from(data).toString("base64"));
        },
        "/objects/list": ({ prefix }) => objects.list(prefix),
        "/objects/delete": ({ name }) => objects.delete(name),
        "/live/read": () => live.read(),
        "/weights/size": ({ model, version, first, last }) => weights.size(model, version, first, last),
        "/weights/rate": () => weights.rate(),
    };
}

type AdminPath =
    | "/admin/faults"
    | "/admin/table/copy"
    | "/admin/hosts/set"
    | "/admin/hosts/remove"
    | "/admin/hosts/lag";

function adminHandlers({ table, objects, live, weights }: PlatformServerOptions): Pick<Handlers, AdminPath> {
    const services = { table, objects, live, weights };
    let restoreCopy = table.saveCopy();
    return {
        "/admin/faults": async ({ service, faults }) => {
            services[service].faults.set(faults);
            return Promise.resolve(Result.ok(services[service].faults.faults));
        },
        "/admin/table/copy": ({ action }) =>
            done(() => action === "save" ? restoreCopy = table.saveCopy() : restoreCopy()),
        "/admin/hosts/set": host => done(() => live.set(host)),
        "/admin/hosts/remove": ({ process }) => done(() => live.remove(process)),
        "/admin/hosts/lag": ({ lag }) => done(() => live.lag = lag),
    };
}

function done(action: () => unknown): Promise<Outcome<undefined>> {
    action();
    return Promise.resolve(Result.ok(undefined));
}

/** Sends an outcome. If it is unknown, the connection is closed without a response, as when a response is lost. */
function sendOutcome(response: ServerResponse, outcome: Outcome<unknown>, tableEra: number): void {
    if (outcome.isErr && outcome.error.code === platformCodes.storeUnknown) {
        response.destroy();
        return;
    }
    const status = outcome.isOk ? statusOk : outcome.error.code.status;
    end(response, status, JSON.stringify(toAnswer(outcome, tableEra)));
}

function end(response: ServerResponse, status: number, text = ""): void {
    response.writeHead(status, { "content-type": "application/json" });
    response.end(text);
}

function parseParams(path: PlatformPath, body: string): unknown {
    try {
        const params = platformCalls[path].params.safeParse(JSON.parse(body));
        return params.success ? params.data : undefined;
    }
    catch {
        return undefined;
    }
}

async function readBody(request: IncomingMessage, limit: number): Promise<string | undefined> {
    const chunks: Buffer[] = [];
    let size = 0;
    for await (const chunk of request as AsyncIterable<Buffer>) {
        size += chunk.length;
        if (size > limit) {
            return undefined;
        }
        chunks.push(chunk);
    }
    return Buffer.concat(chunks).toString("utf8");
}
