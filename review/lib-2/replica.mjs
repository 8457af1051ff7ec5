// A stand-in of a replica of a plain service.
import { createServer } from "node:http";

/** Answers a run that has ended well. */
export function answer(run, response, replica) {
    const body = `${replica.id} did ${run.method} ${run.path} ${run.body}`;
    response.writeHead(200, { ...replica.headers(run), "Content-Length": Buffer.byteLength(body) });
    response.end(body);
}

export class Replica {
    /** Requests that it ran. */
    runs = [];
    /** Requests that it turned away without running them. */
    refused = [];
    #server;

    /** @param behave - Called for each run with the run, the response and the replica. */
    constructor(site, id, options = {}) {
        const { service = "desk", zone = "a", slots = 6, host = "127.0.0.1", work = 30, behave = answer } = options;
        Object.assign(this, { site, id, service, zone, slots, host, work, behave });
        this.state = "ready";
        this.born = Date.now();
        site.replicas.push(this);
    }

    async start(port = 0) {
        this.#server = createServer((request, response) => this.#receive(request, response));
        await new Promise((resolve, reject) => {
            this.#server.once("error", reject);
            this.#server.listen(port, this.host, resolve);
        });
        this.port = this.#server.address().port;
        this.list();
        return this;
    }

    /** Writes its entry, as each heartbeat does. */
    list() {
        const { service, zone, slots, host, port, state, born } = this;
        this.site.store.put("servers", this.id, {
            Service: service, Address: `${host}:${port}`, Zone: zone, Version: "v1", Slots: slots, State: state,
            ColdRemainingMs: 0, Seq: 0, born,
        });
    }

    unlist() {
        this.site.store.put("servers", this.id, undefined);
    }

    stop() {
        this.#server?.close();
        this.#server?.closeAllConnections();
    }

    headers({ id }) {
        return {
            ...(id === undefined ? {} : { "Waxwingspar-Request-Id": id }),
            "Waxwingspar-Replica-Signature": `${this.id}.${id}`,
        };
    }

    #receive(request, response) {
        const chunks = [];
        request.on("data", chunk => chunks.push(chunk));
        request.on("end", () => {
            const run = {
                id: request.headers["waxwingspar-request-id"],
                method: request.method,
                path: request.url,
                headers: request.headers,
                body: Buffer.concat(chunks).toString(),
                at: performance.now(),
                replica: this.id,
                isCancelled: false,
            };
            if (request.headers["waxwingspar-expect-replica"] !== this.id) {
                this.refused.push(run);
                response.writeHead(421, { "Waxwingspar-Not-Executed": "1", "Content-Length": 0 }).end();
                return;
            }
            this.runs.push(run);
            this.site.record(`replica ${this.id} runs ${run.id} ${run.method} ${run.path}`);
            response.once("close", () => {
                run.isCancelled = !response.writableEnded;
            });
            setTimeout(() => response.destroyed || this.behave(run, response, this), this.work);
        });
    }
}
