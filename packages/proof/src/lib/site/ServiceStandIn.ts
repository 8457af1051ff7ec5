import { type HistoryRecorder } from "@waxwingspar/history";
import { createHash } from "node:crypto";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { setTimeout as pause } from "node:timers/promises";

/** The name of the plain service of the site. @internal */
export const serviceName = "records";

/** Milliseconds that each call takes. */
const workTime = 30;

/**
 * A plain HTTP service without idempotency: it runs each POST it receives and records the run in a history of its own,
 * independently of the daemons. The answer depends only on the call, so that callers can verify it.
 *
 * @internal
 */
export class ServiceStandIn {
    private readonly server: Server;
    private runs = 0;

    constructor(private readonly record: HistoryRecorder) {
        this.server = createServer((request, response) => void this.serve(request, response));
    }

    listen(host: string, port: number): Promise<void> {
        return new Promise((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(port, host, resolve);
        });
    }

    async close(): Promise<void> {
        const closed = new Promise(resolve => this.server.close(resolve));
        this.server.closeIdleConnections();
        await closed;
    }

    private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const body = await readBody(request);
        if (body === undefined) {
            response.destroy();
            return;
        }
        if (request.method === "POST") {
            const key = request.headers["idempotency-key"];
            this.runs++;
            this.record({
                event: "service.effect",
                service: serviceName,
                key: typeof key === "string" ? key : undefined,
                run: this.runs,
            });
        }
        await pause(workTime);
        response.writeHead(200, { "content-type": "text/plain" });
        response.end(serviceAnswer(request.method ?? "", request.url ?? "", body));
    }
}

/** Returns the answer of the service to a call. @internal */
export function serviceAnswer(method: string, path: string, body: string): string {
    return createHash("sha256").update(`${method} ${path} ${body}`).digest("hex");
}

async function readBody(request: IncomingMessage): Promise<string | undefined> {
    try {
        const pieces: Buffer[] = [];
        for await (const piece of request as AsyncIterable<Buffer>) {
            pieces.push(piece);
        }
        return Buffer.concat(pieces).toString();
    }
    catch {
        return undefined;
    }
}
