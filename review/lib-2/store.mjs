// A stand-in of the platform's store: rows, transactions and feeds over HTTP, as "The platform's metadata store" says.
import { createServer } from "node:http";

const historySize = 5_000;

export class Store {
    rows = new Map();
    history = [];
    waiting = new Set();
    version = 0;
    /** Called with each call; returns how it is answered: undefined (as usual), "refuse", "silent" or "reset". */
    fault = () => undefined;
    #server;

    async start(host = "127.0.0.1") {
        this.#server = createServer((request, response) => {
            const chunks = [];
            request.on("data", chunk => chunks.push(chunk));
            request.on("end", () => this.#receive(request, response, Buffer.concat(chunks).toString()));
        });
        await new Promise(resolve => this.#server.listen(0, host, resolve));
        this.address = `${host}:${this.#server.address().port}`;
    }

    stop() {
        this.#server.close();
        this.#server.closeAllConnections();
    }

    /** Writes a row as the operator or a replica does; undefined removes it. */
    put(table, key, value, part = "") {
        this.#change({ Table: table, part, Key: key }, value);
        this.#wake();
    }

    get(table, key, part = "") {
        const row = this.rows.get(JSON.stringify([table, part, key]));
        return row === undefined ? undefined : JSON.parse(Buffer.from(row.Value, "base64").toString());
    }

    #change({ Table, part = "", Key, Value }, value) {
        this.#write([{ Table, part, Key, Value: value === undefined ? Value : encode(value) }]);
    }

    /** Applies entries as one transaction; those without a value are removals. */
    #write(entries) {
        this.version++;
        for (const { Table, part = "", Key, Value } of entries) {
            const key = JSON.stringify([Table, part, Key]);
            const row = { Table, part, Key, Value, Ver: this.version };
            if (Value === undefined) {
                this.rows.delete(key);
                this.history.push({ ...row, Tombstone: true });
            }
            else {
                this.rows.set(key, row);
                this.history.push(row);
            }
        }
        this.history.splice(0, Math.max(0, this.history.length - historySize));
    }

    #receive(request, response, body) {
        const url = new URL(request.url, "http://store");
        const { method } = request;
        const fault = this.fault({ method, path: url.pathname, query: url.searchParams, body, request });
        if (fault === "refuse") {
            response.writeHead(503).end();
        }
        else if (fault === "reset") {
            request.socket.resetAndDestroy();
        }
        else if (fault !== "silent") {
            this.#handle(request.method, url, body, response);
        }
    }

    #handle(method, { pathname, searchParams: query }, body, response) {
        if (method === "POST" && pathname === "/rows-tx") {
            this.#transact(JSON.parse(body), response);
        }
        else if (method === "GET" && pathname === "/rows-get") {
            this.#read(query, response);
        }
        else if (method === "GET" && pathname === "/rows-feed") {
            this.#feed(query, response);
        }
        else {
            response.writeHead(404).end();
        }
    }

    #transact({ ExpectedRevision = [], Writes = [], Remove = [] }, response) {
        const find = ({ Table, part = "", Key }) => this.rows.get(JSON.stringify([Table, part, Key]));
        if ([...Writes, ...Remove].some(({ Table }) => Table === "op" || Table === "servers")) {
            response.writeHead(403).end();
            return;
        }
        if (ExpectedRevision.some(row => (find(row)?.Ver ?? 0) !== row.Ver)) {
            this.#reply(response, 412, { Rows: ExpectedRevision.flatMap(row => find(row) ?? []) });
            return;
        }
        this.#write([...Writes, ...Remove.map(({ Table, part, Key }) => ({ Table, part, Key }))]);
        this.#wake();
        this.#reply(response, 200, {});
    }

    #read(query, response) {
        const limit = Math.min(500, Number(query.get("Limit") ?? 500));
        const rows = [...this.rows.values()]
            .filter(({ Table, part, Key }) =>
                Table === query.get("Table") && part === (query.get("part") ?? "")
                && Key >= (query.get("From") ?? "") && (query.get("Target") === null || Key < query.get("Target"))
            )
            .sort((a, b) => Buffer.compare(Buffer.from(a.Key), Buffer.from(b.Key)));
        this.#reply(response, 200, { Rows: rows.slice(0, limit), Truncated: rows.length > limit });
    }

    #feed(query, response) {
        const after = Number(query.get("After"));
        const wait = Math.min(30_000, Number(query.get("WaitMs") ?? 0));
        if (after > this.version || (after < this.version && (this.history[0]?.Ver ?? Infinity) > after + 1)) {
            this.#reply(response, 410, {});
            return;
        }
        const entry = { table: query.get("Table"), after, response };
        entry.timer = setTimeout(() => {
            this.waiting.delete(entry);
            this.#reply(response, 200, { Rows: [] });
        }, wait);
        response.once("close", () => {
            clearTimeout(entry.timer);
            this.waiting.delete(entry);
        });
        this.waiting.add(entry);
        this.#wake();
    }

    #wake() {
        for (const entry of [...this.waiting]) {
            const rows = this.history.filter(({ Table, Ver }) => Table === entry.table && Ver > entry.after);
            if (rows.length > 0) {
                clearTimeout(entry.timer);
                this.waiting.delete(entry);
                this.#reply(entry.response, 200, { Rows: rows });
            }
        }
    }

    #reply(response, status, body) {
        if (!response.destroyed) {
            response.writeHead(status, { "Content-Type": "application/json" });
            response.end(JSON.stringify({ ...body, Ver: this.version, NowMs: Math.round(performance.now()) }));
        }
    }
}

function encode(value) {
    return Buffer.from(typeof value === "string" ? value : JSON.stringify(value)).toString("base64");
}
