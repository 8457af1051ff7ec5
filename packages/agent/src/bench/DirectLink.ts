import { type Link, type Message, type OpenMessage } from "@waxwingspar/transport";
import { type Failure, failure, transportCodes } from "@waxwingspar/utils";
import { Result } from "true-myth";
import { benchHello, benchLayers } from "./benchAgent.js";

/**
 * One end of an in-process link that delivers messages in the next microtask, without a codec or sockets.
 *
 * @internal
 */
export class DirectLink implements Link {
    readonly open = true;
    readonly queuedBytes = 0;
    other: DirectLink | undefined;
    private handler: (message: Message) => void = () => undefined;

    constructor(readonly peer: Link["peer"]) {}

    send(message: Message): void {
        queueMicrotask(() => this.other?.handler(message));
    }

    request(): Promise<Result<unknown, Failure>> {
        return Promise.resolve(Result.err(failure(transportCodes.noSuchMethod, "a direct link has no methods")));
    }

    onMessage(handler: (message: Message) => void): void {
        this.handler = handler;
    }

    onClose(): void {
        // A direct link never closes.
    }

    close(): void {
        // A direct link never closes.
    }
}

/** Creates a link between an agent and a peer. Returns the agent's end and the peer's end. @internal */
export function directPair(peer: string, role: "entry" | "agent"): [DirectLink, DirectLink] {
    const own = new DirectLink(benchHello(peer, role));
    const other = new DirectLink(benchHello("head", "agent"));
    own.other = other;
    other.other = own;
    return [own, other];
}

/** Simulates the last stage of the chain, which samples each token immediately. @internal */
export function answerFrames(link: DirectLink): void {
    link.onMessage(message => {
        if (message.type === "join") {
            const { request, epoch } = message;
            link.send({ type: "joined", request, epoch, target: "last", cached: 0 });
        }
        if (message.type === "frame" && !message.prefill) {
            const { request, epoch, position, count } = message;
            const sampled = { type: "sampled", request, epoch, token: 7, text: " word", end: false } as const;
            link.send({ ...sampled, position: position + count });
        }
    });
}

/** Creates an `open` message for an answer of a given number of tokens. @internal */
export function benchOpen(request: string, tokens: number, credit = tokens): OpenMessage {
    const stage = { host: "127.0.0.1", port: 1 };
    return {
        type: "open",
        request,
        epoch: 0,
        model: "demo",
        version: "1",
        organisation: "bench",
        priority: 5,
        timeLeft: 600_000,
        firstTokenBound: 600_000,
        prompt: "bench",
        produced: [],
        sampling: { maxTokens: tokens, stop: [] },
        stages: [
            { ...stage, target: "head", first: 0, last: 5 },
            { ...stage, target: "last", first: 6, last: benchLayers - 1 },
        ],
        exporters: [],
        credit,
    };
}
