import {
    type Address,
    type Link,
    type LinkPair,
    linkPair,
    type LinkPool,
    type LoadReport,
    type Message,
    type OpenMessage,
} from "@waxwingspar/transport";
import { type Clock, failure, type Outcome, transportCodes } from "@waxwingspar/utils";
import { Result } from "true-myth";

/** The message of one type. @internal */
export type MessageOf<T extends Message["type"]> = Extract<Message, { readonly type: T; }>;

/**
 * The remote end of an entry's link: records the messages that arrive, and sends messages on behalf of a test.
 *
 * @internal
 */
export class FakeAgent {
    readonly address: Address;
    readonly received: Message[] = [];
    /** Called for each message that arrives. */
    react: (message: Message, agent: FakeAgent) => void = () => undefined;
    incarnation: string;
    reachable = true;
    private readonly pairs: LinkPair[] = [];
    /** The link on which each request arrived. */
    private readonly links = new Map<string, Link>();
    private readonly waiters: (() => void)[] = [];

    constructor(readonly target: string, private readonly clock: Clock, port: number) {
        this.address = { host: "127.0.0.1", port };
        this.incarnation = `${target}-1`;
    }

    /** Messages of one type, in the order of arrival. */
    all<T extends Message["type"]>(type: T): MessageOf<T>[] {
        return this.received.filter((message): message is MessageOf<T> => message.type === type);
    }

    /** Waits until `count` messages of a type have arrived, and returns the last of them. */
    async wait<T extends Message["type"]>(type: T, count = 1): Promise<MessageOf<T>> {
        for (;;) {
            const message = this.all(type)[count - 1];
            if (message !== undefined) {
                return message;
            }
            await new Promise<void>(resolve => this.waiters.push(resolve));
        }
    }

    /** Sends a message on the link on which its request arrived. */
    send(message: Extract<Message, { readonly request: string; }>): void {
        this.links.get(message.request)?.send(message);
    }

    /** Sends a load report to every entry. */
    sendLoad(leaving: boolean): void {
        this.pairs.forEach(pair => pair.right.send({ type: "load", load: this.load(leaving) }));
    }

    /** Sends tokens of an answer: position p has the id `100 + p` and the text ` p`. */
    tokens({ request, epoch }: Pick<OpenMessage, "request" | "epoch">, position: number, count: number): void {
        const ids = Array.from({ length: count }, (_, index) => 100 + position + index);
        this.send({ type: "tokens", request, epoch, position, ids, texts: ids.map(id => ` ${id - 100}`) });
    }

    done({ request, epoch }: Pick<OpenMessage, "request" | "epoch">, answerTokens: number): void {
        this.send({
            type: "done",
            request,
            epoch,
            finish: "length",
            promptTokens: 7,
            cachedTokens: 2,
            answerTokens,
            load: this.load(false),
        });
    }

    load(leaving: boolean): LoadReport {
        return {
            target: this.target,
            running: 1,
            queued: 0,
            slots: 8,
            tokenInterval: 10,
            firstTokenEstimate: 20,
            leaving,
        };
    }

    /** Cuts every link, as if the process had crashed. */
    cut(): void {
        this.pairs.splice(0).forEach(pair => pair.cut());
    }

    /** Restarts as another incarnation of the process. */
    restart(incarnation: string): void {
        this.cut();
        this.incarnation = incarnation;
        this.reachable = true;
    }

    /** @internal */
    accept(): LinkPair {
        const pair = linkPair({
            clock: this.clock,
            left: { hello: hello("entry", "entry", "entry-1") },
            right: { hello: hello(this.target, "agent", this.incarnation) },
        });
        pair.right.onMessage(message => this.receive(message, pair.right));
        this.pairs.push(pair);
        return pair;
    }

    private receive(message: Message, link: Link): void {
        if ("request" in message) {
            this.links.set(message.request, link);
        }
        this.received.push(message);
        this.react(message, this);
        this.waiters.splice(0).forEach(resolve => resolve());
    }
}

/** A pool of links to {@link FakeAgent}s. @internal */
export class FakeLinkPool implements LinkPool {
    private readonly agents = new Map<number, FakeAgent>();
    private readonly links = new Map<number, Link>();
    private readonly handlers: ((link: Link, address: Address) => void)[] = [];

    constructor(agents: readonly FakeAgent[]) {
        agents.forEach(agent => this.agents.set(agent.address.port, agent));
    }

    async connect(address: Address): Promise<Outcome<Link>> {
        await Promise.resolve();
        const agent = this.agents.get(address.port);
        if (agent === undefined || !agent.reachable) {
            return Result.err(failure(transportCodes.notConnected, "no connection"));
        }
        const open = this.current(address);
        if (open !== undefined) {
            return Result.ok(open);
        }
        const link = agent.accept().left;
        this.links.set(address.port, link);
        this.handlers.forEach(handler => handler(link, address));
        return Result.ok(link);
    }

    current(address: Address): Link | undefined {
        const link = this.links.get(address.port);
        return link?.open === true ? link : undefined;
    }

    onOpen(handler: (link: Link, address: Address) => void): void {
        this.handlers.push(handler);
    }

    close(): void {
        this.links.forEach(link => link.close());
    }
}

function hello(process: string, role: "entry" | "agent", incarnation: string) {
    return { type: "hello", protocol: 1, process, role, incarnation, dataCentre: "dc1" } as const;
}
