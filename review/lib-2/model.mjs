// A stand-in of a model replica that holds all layers of a small model, and streams its answers.
import { createServer } from "node:http";

export const modelService = "talk";
export const modelLayers = 4;

/** The service's entry in the configuration. */
export const modelEngine = {
    Slots: 100,
    KvBytes: 100,
    Models: [{ Name: "m0", LoadS: 1 }],
    step_ms: 1,
    loads_at_once: 2,
    usual: { prompt: 10, answer: 10 },
    Layers: modelLayers,
    LayerMb: 10,
    Kinds: [{ Name: "small", Mb: 100, pace: 1, ReadX: 1 }],
};

export const modelHeaders = {
    "Waxwingspar-Model": "m0",
    "Waxwingspar-Token-Usage": "10,40",
};

export class ModelReplica {
    /** Requests that it ran. */
    runs = [];
    refused = [];
    layers = { From: 0, Target: modelLayers, Version: 1 };
    orders = 0;
    #server;
    #sockets = new Set();

    /**
     * @param head - Returns the lines of the head of an answer, by the number of the run.
     * @param event - Returns the bytes of an event of an answer.
     * @param events - Number of events of an answer.
     * @param onRun - Called for each run; returns whether it answers the run itself.
     * @param isSized - Whether answers have a length instead of chunks.
     */
    constructor(site, id, { zone = "a", host = "127.0.0.1", events = 20, interval = 20, head = headLines,
        event = eventText, isSized = false, onRun = () => false } = {}) {
        Object.assign(this, { site, id, zone, host, events, interval, head, event, isSized, onRun });
        this.state = "ready";
        this.born = Date.now();
        site.replicas.push(this);
    }

    async start() {
        this.#server = createServer((request, response) => {
            const chunks = [];
            request.on("data", chunk => chunks.push(chunk));
            request.on("end", () => this.#receive(request, response, Buffer.concat(chunks).toString()));
        });
        this.#server.on("connection", socket => {
            this.#sockets.add(socket);
            socket.on("error", () => undefined);
            socket.once("close", () => this.#sockets.delete(socket));
        });
        await new Promise(resolve => this.#server.listen(0, this.host, resolve));
        this.port = this.#server.address().port;
        this.list();
        return this;
    }

    list() {
        const { zone, host, port, state, born, orders, layers } = this;
        this.site.store.put("servers", this.id, {
            Service: modelService, Address: `${host}:${port}`, Zone: zone, Version: "v1", Slots: 100, State: state,
            ColdRemainingMs: 0, Seq: orders, born, RouteType: "small", Stage: "unified", Layers: layers,
            Models: [{ Name: "m0", Version: 1, Adapters: [] }],
        });
    }

    /** Ends as in a crash: open connections are reset, new ones refused. */
    stop() {
        this.#server?.close();
        this.#sockets.forEach(socket => socket.resetAndDestroy());
    }

    #receive(request, response, body) {
        if ((request.headers["waxwingspar-expect-replica"] ?? this.id) !== this.id) {
            response.writeHead(421, { "Waxwingspar-Not-Executed": "1", "Content-Length": 0 }).end();
        }
        else if (request.url === "/report") {
            this.#report(response);
        }
        else if (request.url === "/order") {
            this.#order(JSON.parse(body), response);
        }
        else {
            this.#run(request, response, body);
        }
    }

    #report(response) {
        const { born, orders, layers } = this;
        json(response, 200, {
            born, Stage: "unified", Models: [{ Name: "m0", Version: 1, Adapters: [] }], Busy: false, Seq: orders,
            Waiting: 0, Running: 0, KvUsed: 0, KvTotal: 100_000, Handles: 0, pace: 1, RouteType: "small",
            Layers: layers, Stalled: [],
        });
    }

    #order({ Op, From, Target, ExpectedRevision }, response) {
        if (Op !== "place") {
            json(response, 400, {});
        }
        else if (ExpectedRevision !== undefined && ExpectedRevision !== this.orders) {
            json(response, 409, {});
        }
        else if (this.layers.From === From && this.layers.Target === Target) {
            json(response, 200, {});
        }
        else {
            this.orders++;
            this.layers = { From, Target, Version: 1 };
            this.list();
            json(response, 202, {});
        }
    }

    /** Answers with a stream that goes on after the last event that the caller has. */
    #run(request, response, body) {
        const id = request.headers["waxwingspar-request-id"];
        const hops = request.headers["waxwingspar-hop-count"];
        if (hops !== undefined && hops !== `${this.host}:${this.port}=0-${modelLayers}`) {
            this.refused.push({ id, hops });
            response.writeHead(421, {
                "Waxwingspar-Not-Executed": "1", "At-Server": `${this.host}:${this.port}`, "Content-Length": 0,
            }).end();
            return;
        }
        const first = Number(request.headers["last-event-id"] ?? -1) + 1;
        const run = { id, number: this.runs.length, path: request.url, body, first, replica: this.id };
        this.runs.push(run);
        this.site.record(`replica ${this.id} runs ${id} from event ${first}`);
        const { socket } = response;
        if (this.onRun(run, this, socket)) {
            return;
        }
        socket.write(`${this.head(run, this).join("\r\n")}\r\n\r\n`);
        const send = number => {
            if (socket.destroyed) {
                return;
            }
            if (number >= this.events) {
                socket.end(this.isSized ? "" : "0\r\n\r\n");
                return;
            }
            const event = this.event(run, number, this);
            socket.write(this.isSized ? event : `${event.length.toString(16)}\r\n${event}\r\n`);
            setTimeout(() => send(number + 1), this.interval);
        };
        setTimeout(() => send(first), this.interval);
    }
}

function contentLength(run, replica) {
    const { first } = run;
    const rest = Array.from({ length: Math.max(0, replica.events - first) }, (_, index) => first + index);
    return rest.reduce((sum, number) => sum + Buffer.byteLength(replica.event(run, number, replica)), 0);
}

/** The head of a sound answer. */
export function headLines(run, replica) {
    return [
        "HTTP/1.1 200 OK",
        `Waxwingspar-Request-Id: ${run.id}`,
        `Waxwingspar-Replica-Signature: ${replica.id}.${run.id}`,
        "Waxwingspar-Weight-Versions: 1",
        "Content-Type: text/event-stream",
        replica.isSized ? `Content-Length: ${contentLength(run, replica)}` : "Transfer-Encoding: chunked",
        "Connection: close",
    ];
}

/** A sound event. */
export function eventText(run, number) {
    return `id: ${number}\ndata: ${run.id} ${number}\n\n`;
}

function json(response, status, body) {
    response.writeHead(status, { "Content-Type": "application/json" });
    response.end(JSON.stringify(body));
}
