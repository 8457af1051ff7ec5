import { SystemClock } from "@waxwingspar/utils";
import fc from "fast-check";
import assert from "node:assert/strict";
import { once } from "node:events";
import { type IncomingMessage, type ServerResponse } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { test } from "node:test";
import { GuardedServer } from "./GuardedServer.js";
import { MemoryBudget } from "./MemoryBudget.js";
import { readBody } from "./readBody.js";

/** What may happen next in the life of a connection. */
type Step = "send" | "head" | "body" | "end" | "stop" | "idle" | "turn";

interface Play {
    /** Sizes of the requests' bodies; undefined for a request without a body. */
    readonly bodies: readonly (number | undefined)[];
    /** Sizes of the pieces in which the client sends them. */
    readonly pieces: readonly number[];
    readonly steps: readonly Step[];
    readonly maxRunning: number;
    /** Whether the server reads what it has received and then closes, instead of waiting for the client. */
    readonly isCutShort: boolean;
}

const steps: readonly Step[] = ["send", "send", "send", "head", "body", "end", "end", "turn", "stop", "idle"];
const play: fc.Arbitrary<Play> = fc.record({
    bodies: fc.array(fc.option(fc.nat({ max: 3_000 }), { nil: undefined }), { minLength: 1, maxLength: 12 }),
    pieces: fc.array(fc.integer({ min: 1, max: 2_500 }), { minLength: 1, maxLength: 20 }),
    steps: fc.array(fc.constantFrom(...steps), { maxLength: 80 }),
    maxRunning: fc.constantFrom(1, 4),
    isCutShort: fc.boolean(),
});

function writeRequest(body: number | undefined, number: number): string {
    const head = `POST /${number} HTTP/1.1\r\nHost: a\r\n`;
    return body === undefined ? `${head}\r\n` : `${head}Content-Length: ${body}\r\n\r\n${"x".repeat(body)}`;
}

function numberOf(path: string): number {
    return Number(path.slice(1));
}

/** One connection, its client's text, and what its server does with the requests. */
class Connection {
    private readonly begun: string[] = [];
    /** Requests that are refused because their bodies have not come whole. */
    private readonly refused: string[] = [];
    private received = "";
    private readonly running: ServerResponse[] = [];
    /** Responses to requests whose bodies have not come whole. */
    private readonly unfinished = new Set<ServerResponse>();
    private readonly server: GuardedServer;
    private readonly requests: readonly string[];
    private unsent: string;
    private pieces = 0;
    private client!: Socket;
    private accepted!: Socket;
    /** Bytes that the server had read when it told its client that it closes the connection, or read for the last time. */
    private readAtTell: number | undefined;

    constructor(private readonly options: Play) {
        const clock = new SystemClock();
        this.requests = options.bodies.map(writeRequest);
        this.unsent = this.requests.join("");
        this.server = new GuardedServer({
            clock,
            budget: new MemoryBudget({ clock, maxBytes: 1e9 }),
            maxConnections: 10,
            maxRunning: options.maxRunning,
            onRequest: (incoming, response) => this.take(incoming, response),
        });
    }

    async open(): Promise<void> {
        this.server.http.listen(0, "127.0.0.1");
        await once(this.server.http, "listening");
        this.client = connect((this.server.http.address() as AddressInfo).port, "127.0.0.1");
        this.client.on("error", () => undefined);
        this.client.on("data", data => this.received += data.toString());
        [this.accepted] = await once(this.server.http, "connection") as [Socket];
    }

    async step(step: Step): Promise<void> {
        const [oldest] = this.running;
        switch (step) {
            case "send":
                return this.send();
            case "head":
                return oldest === undefined ? undefined : this.writeHead(oldest);
            case "body":
                if (oldest?.headersSent === true) {
                    oldest.write("part;");
                }
                return;
            case "end":
                return this.answer();
            case "stop":
                return this.server.endConnections();
            case "idle":
                return this.server.closeIdle();
            case "turn":
                await new Promise(resolve => setImmediate(resolve));
        }
    }

    /** Ends the connection as a stop does. */
    async finish(): Promise<void> {
        const { isCutShort } = this.options;
        this.server.endConnections();
        this.server.stopListening();
        this.server.closeIdle();
        if (isCutShort) {
            await this.step("turn");
            this.readAtTell ??= this.accepted.bytesRead;
            this.server.finishReading();
            await this.step("turn");
            this.running.push(...this.unfinished);
            this.unfinished.forEach(({ req }) => this.refused.push(req.url ?? ""));
            this.unfinished.clear();
        }
        while (!this.client.destroyed && !(isCutShort && !this.server.isBusy)) {
            this.answer();
            if (!isCutShort) {
                this.send();
            }
            await this.step("turn");
        }
        this.server.http.closeAllConnections();
        while (!this.client.destroyed) {
            await this.step("turn");
        }
    }

    /** Every request that was read whole before the client was told is answered in order, and nothing else has run. */
    check(): void {
        const answers = [...this.received.matchAll(/(?<=X-Path: )\S+/g)].map(([path]) => path);
        const readBytes = this.readAtTell ?? this.accepted.bytesRead;
        let end = 0;
        const due = this.requests.flatMap((request, number) =>
            (end += request.length) <= readBytes ? [`/${number}`] : []
        );
        const seen = [...this.begun, ...this.refused].sort((a, b) => numberOf(a) - numberOf(b));
        assert.deepEqual(answers, seen, "what has begun or is half read is answered, in order");
        assert.deepEqual(answers.slice(0, due.length), due, "each request that was read is answered");
        const ends = this.received.match(/last;\r\n0\r\n\r\n/g)?.length;
        assert.equal(ends, this.received.match(/HTTP/g)?.length, "each answer is whole");
    }

    private send(): void {
        const { pieces } = this.options;
        const size = pieces[this.pieces++ % pieces.length]!;
        this.client.write(this.unsent.slice(0, size));
        this.unsent = this.unsent.slice(size);
    }

    private take(incoming: IncomingMessage, response: ServerResponse): void {
        this.unfinished.add(response);
        readBody(incoming, {
            maxBytes: 1e6,
            whenOver: callback => response.once("close", callback),
            onRefused: () => assert.fail("refused"),
            onBody: () => {
                if (!this.unfinished.delete(response)) {
                    return;
                }
                this.begun.push(incoming.url ?? "");
                this.running.push(response);
            },
        });
    }

    private answer(): void {
        const response = this.running.shift();
        if (response !== undefined) {
            this.writeHead(response);
            response.end("last;");
        }
    }

    private writeHead(response: ServerResponse): void {
        if (!response.headersSent) {
            const headers = { "X-Path": response.req.url ?? "", "Transfer-Encoding": "chunked" };
            response.writeHead(this.refused.includes(headers["X-Path"]) ? 503 : 200, headers);
            if (!response.shouldKeepAlive) {
                this.readAtTell ??= this.accepted.bytesRead;
            }
        }
    }
}

// Guards against requests that are read and neither answered nor refused, whatever comes in whatever order.
test("every request that was read before its client was told of the close is answered, and nothing behind it runs", async () => {
    await fc.assert(
        fc.asyncProperty(play, async options => {
            const connection = new Connection(options);
            await connection.open();
            for (const step of options.steps) {
                await connection.step(step);
            }
            await connection.finish();
            connection.check();
        }),
        { numRuns: 400 },
    );
});
