import {
    type DoneMessage,
    type FailedMessage,
    type Link,
    type Message,
    type OpenMessage,
    type Stage,
} from "@waxwingspar/transport";
import { assert, type Clock } from "@waxwingspar/utils";
import { testHello, type TestHost, type TestNetwork } from "./TestNetwork.js";

/** What an entry got for one attempt. @internal */
export interface TestAnswer {
    readonly ids: number[];
    text: string;
    /** The answer position of the first token. */
    first: number | undefined;
    done: DoneMessage | undefined;
    failed: FailedMessage | undefined;
}

/**
 * An entry that keeps what it receives, and checks that tokens follow on each other.
 *
 * @internal
 */
export class TestEntry {
    readonly received: Message[] = [];
    readonly host: TestHost;
    private readonly answers = new Map<string, TestAnswer>();
    private readonly pool;

    constructor(name: string, network: TestNetwork, private readonly clock: Clock) {
        this.host = { hello: testHello(name, "entry"), methods: () => ({}), accept: () => undefined };
        this.pool = network.createPool(this.host);
        this.pool.onOpen(link => link.onMessage(message => this.receive(message)));
    }

    /** Milliseconds at which each token message came. */
    readonly tokenTimes: number[] = [];

    async link(target: string): Promise<Link> {
        const link = await this.pool.connect({ host: target, port: 1 });
        assert(link.isOk, `no link to ${target}`);
        return link.value;
    }

    /** Sends an `open` to the head of its chain. */
    async open(message: OpenMessage): Promise<TestAnswer> {
        const head = message.stages[0]?.target;
        assert(head !== undefined);
        (await this.link(head)).send(message);
        return this.answer(message.request, message.epoch);
    }

    answer(request: string, epoch: number): TestAnswer {
        const key = `${request}/${epoch}`;
        const known = this.answers.get(key);
        if (known !== undefined) {
            return known;
        }
        const created = { ids: [], text: "", first: undefined, done: undefined, failed: undefined };
        this.answers.set(key, created);
        return created;
    }

    private receive(message: Message): void {
        this.received.push(message);
        switch (message.type) {
            case "tokens": {
                const answer = this.answer(message.request, message.epoch);
                answer.first ??= message.position;
                assert(message.position === answer.first + answer.ids.length, "tokens follow on each other");
                assert(answer.done === undefined && answer.failed === undefined, "nothing follows the end");
                answer.ids.push(...message.ids);
                answer.text += message.texts.join("");
                this.tokenTimes.push(this.clock.now());
                return;
            }
            case "done": {
                const answer = this.answer(message.request, message.epoch);
                assert(answer.done === undefined && answer.failed === undefined, "an answer ends once");
                answer.done = message;
                return;
            }
            case "failed": {
                const answer = this.answer(message.request, message.epoch);
                assert(answer.done === undefined && answer.failed === undefined, "an answer ends once");
                answer.failed = message;
                return;
            }
            default:
        }
    }
}

/** Splits the layers of a model over targets, as evenly as it goes. @internal */
export function chainOf(targets: readonly string[], layers: number): Stage[] {
    return targets.map((target, index) => ({
        target,
        host: target,
        port: 1,
        first: Math.floor(index * layers / targets.length),
        last: Math.floor((index + 1) * layers / targets.length) - 1,
    }));
}

/** An `open` with usual values. @internal */
export function openMessage(changes: Partial<OpenMessage> & Pick<OpenMessage, "request" | "stages">): OpenMessage {
    return {
        type: "open",
        epoch: 0,
        model: "demo",
        version: "1",
        organisation: "ports",
        priority: 5,
        timeLeft: 60_000,
        firstTokenBound: 540,
        prompt: "Why does the mast of the lift truck drift down under load?",
        produced: [],
        sampling: { maxTokens: 20, stop: [], seed: 7 },
        exporters: [],
        credit: 1000,
        ...changes,
    };
}
