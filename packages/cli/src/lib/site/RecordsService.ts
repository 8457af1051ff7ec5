import { type HistoryRecorder } from "@waxwingspar/history";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { type AddressInfo } from "node:net";

/** One run of POST /work-orders. */
interface WorkOrderRun {
    readonly run: number;
    readonly body: unknown;
    readonly key?: string;
}

const maxBody = 1_048_576;
const service = "records";

/**
 * A plain service for trials: each POST /work-orders adds a run, and GET /work-orders lists all runs.
 *
 * @internal
 */
export class RecordsService {
    private readonly server: Server;
    private readonly runs: WorkOrderRun[] = [];

    /** @param record - Records an event for every run, so that a history check can detect duplicate runs. */
    constructor(private readonly record: HistoryRecorder) {
        this.server = createServer((request, response) => void this.serve(request, response));
    }

    /** The number of times that POST /work-orders has run. */
    get runCount(): number {
        return this.runs.length;
    }

    /** Starts to listen on loopback. @returns The URL of the service. */
    listen(): Promise<string> {
        return new Promise((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(0, "127.0.0.1", () => {
                const { port } = this.server.address() as AddressInfo;
                resolve(`http://127.0.0.1:${port}`);
            });
        });
    }

    async close(): Promise<void> {
        const closed = new Promise(resolve => this.server.close(resolve));
        this.server.closeAllConnections();
        await closed;
    }

    private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const body = await readBody(request);
        if (body === undefined) {
            answer(response, 413, { error: "the body is too large or broke off" });
            return;
        }
        const path = new URL(request.url ?? "/", "http://records").pathname;
        if (path !== "/work-orders") {
            answer(response, 404, { error: "no such path" });
        }
        else if (request.method === "GET") {
            answer(response, 200, this.runs);
        }
        else if (request.method === "POST") {
            answer(response, 200, { run: this.run(body, request.headers["idempotency-key"]) });
        }
        else {
            answer(response, 405, { error: "GET and POST are allowed" });
        }
    }

    private run(body: string, key: string | string[] | undefined): number {
        const run = this.runs.length + 1;
        const text = typeof key === "string" ? key : undefined;
        this.runs.push({ run, body: parseBody(body), key: text });
        this.record({ event: "service.effect", service, key: text, run });
        return run;
    }
}

/** Reads a body; undefined if it is too large or the connection is lost. */
async function readBody(request: IncomingMessage): Promise<string | undefined> {
    const pieces: Buffer[] = [];
    let bytes = 0;
    try {
        for await (const piece of request as AsyncIterable<Buffer>) {
            bytes += piece.length;
            if (bytes > maxBody) {
                return undefined;
            }
            pieces.push(piece);
        }
    }
    catch {
        return undefined;
    }
    return Buffer.concat(pieces).toString();
}

/** Parses a body as JSON; returns its text if it is not JSON. */
function parseBody(body: string): unknown {
    try {
        return JSON.parse(body) as unknown;
    }
    catch {
        return body;
    }
}

function answer(response: ServerResponse, status: number, body: unknown): void {
    response.writeHead(status, { "Content-Type": "application/json" });
    response.end(JSON.stringify(body));
}
