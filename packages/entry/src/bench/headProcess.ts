/**
 * The heads of the entry benchmark, in a separate process: fake heads behind real links, and a fake engine that callers
 * reach directly over HTTP. Both send the same tokens at the same pace.
 *
 * The text of each token is the time at which it was sent, in microseconds of the monotonic clock that all processes of
 * a machine share.
 */
import { type Link, LinkServer, type Message, type OpenMessage } from "@waxwingspar/transport";
import { createServer, type ServerResponse } from "node:http";
import { type AddressInfo } from "node:net";
import { microseconds } from "./microseconds.js";

/** The message that starts this process. */
export interface HeadProcessOptions {
    readonly heads: number;
    /** Milliseconds between two tokens of a stream. */
    readonly interval: number;
}

/** The message of this process once it has started: the ports of the heads and of the direct server. */
export interface HeadProcessReady {
    readonly heads: readonly number[];
    readonly direct: number;
}

interface Stream {
    /** Sends the next token. Returns false once the stream has ended. */
    step(): boolean;
}

/** Streams that generate their tokens in the same step, like the batch of an engine. */
class Batch {
    private streams: Stream[] = [];

    constructor(interval: number) {
        setInterval(() => {
            this.streams = this.streams.filter(stream => stream.step());
        }, interval);
    }

    /** Adds a stream and sends its first token immediately, so that the time to it is the cost of the request alone. */
    add(stream: Stream): void {
        if (stream.step()) {
            this.streams.push(stream);
        }
    }
}

class HeadStream implements Stream {
    private position = 0;
    private upTo: number;
    private cancelled = false;

    constructor(private readonly link: Link, private readonly open: OpenMessage) {
        this.upTo = open.credit;
    }

    step(): boolean {
        const { request, epoch, sampling: { maxTokens } } = this.open;
        if (this.cancelled || !this.link.open) {
            return false;
        }
        if (this.position >= this.upTo) {
            return true;
        }
        const texts = [` ${microseconds()}`];
        this.link.send({ type: "tokens", request, epoch, position: this.position, ids: [this.position], texts });
        this.position++;
        if (this.position < maxTokens) {
            return true;
        }
        const usage = { promptTokens: 8, cachedTokens: 0, answerTokens: maxTokens };
        this.link.send({ type: "done", request, epoch, finish: "length", ...usage });
        return false;
    }

    credit(upTo: number): void {
        this.upTo = upTo;
    }

    cancel(): void {
        this.cancelled = true;
    }
}

async function startHead(interval: number, index: number): Promise<number> {
    const batch = new Batch(interval);
    const streams = new Map<string, HeadStream>();
    function take(link: Link, message: Message): void {
        if (message.type === "open") {
            const stream = new HeadStream(link, message);
            streams.set(message.request, stream);
            batch.add(stream);
        }
        else if (message.type === "credit") {
            streams.get(message.request)?.credit(message.upTo);
        }
        else if (message.type === "cancel") {
            streams.get(message.request)?.cancel();
        }
    }
    const server = new LinkServer({
        hello: {
            type: "hello",
            protocol: 1,
            process: `head-${index}`,
            role: "agent",
            incarnation: `head-${index}`,
            dataCentre: "dc1",
        },
        credentials: { insecure: true },
        onLink: link => link.onMessage(message => take(link, message)),
    });
    const address = await server.listen();
    if (address.isErr) {
        throw new Error(address.error.message);
    }
    return address.value.port;
}

class DirectStream implements Stream {
    private position = 0;

    constructor(private readonly response: ServerResponse, private readonly maxTokens: number) {}

    step(): boolean {
        if (this.response.destroyed) {
            return false;
        }
        this.response.write(`data: {"choices":[{"index":0,"delta":{"content":" ${microseconds()}"}}]}\n\n`);
        this.position++;
        if (this.position < this.maxTokens) {
            return true;
        }
        this.response.end("data: [DONE]\n\n");
        return false;
    }
}

/** Starts the direct server, which distributes its streams over as many batches as there are heads. */
async function startDirect({ heads, interval }: HeadProcessOptions): Promise<number> {
    const batches = Array.from({ length: heads }, () => new Batch(interval));
    let requests = 0;
    const server = createServer({ noDelay: true }, (request, response) => {
        let body = "";
        request.setEncoding("utf8");
        request.on("data", (chunk: string) => {
            body += chunk;
        });
        request.on("end", () => {
            const { max_tokens: maxTokens } = JSON.parse(body) as { max_tokens: number; };
            response.writeHead(200, { "Content-Type": "text/event-stream" });
            batches[requests++ % heads]?.add(new DirectStream(response, maxTokens));
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return (server.address() as AddressInfo).port;
}

process.once("message", (options: HeadProcessOptions) => {
    const starting = Array.from({ length: options.heads }, (_, index) => startHead(options.interval, index));
    void Promise.all([Promise.all(starting), startDirect(options)]).then(([heads, direct]) => {
        process.send?.({ heads, direct } satisfies HeadProcessReady);
    });
});
