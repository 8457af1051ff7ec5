import { type HistoryRecorder } from "@waxwingspar/history";
import {
    type Address,
    type DoneMessage,
    type FailedMessage,
    type Link,
    type LinkPool,
    type Message,
    type OpenMessage,
    type Stage,
} from "@waxwingspar/transport";
import { assert, type Clock } from "@waxwingspar/utils";

/** The answer that an entry received for one attempt. @internal */
export interface TestAnswer {
    readonly ids: number[];
    text: string;
    /** The answer position of the first token. */
    first: number | undefined;
    done: DoneMessage | undefined;
    failed: FailedMessage | undefined;
}

/** @internal */
export interface TestEntryOptions {
    readonly pool: LinkPool;
    readonly addressOf: (target: string) => Address;
    readonly clock: Clock;
    readonly record: HistoryRecorder;
}

/**
 * An entry that keeps all received messages, and checks that token positions are contiguous and nothing follows the
 * end.
 *
 * @internal
 */
export class TestEntry {
    readonly received: Message[] = [];
    /** Called for every message after it has been stored in `received`. */
    onMessage: ((message: Message) => void) | undefined;
    /** Called when the link to a target has closed. */
    onLost: ((target: string) => void) | undefined;
    private readonly answers = new Map<string, TestAnswer>();
    /** The targets to which links were opened, by address. */
    private readonly linked = new Map<string, string>();

    constructor(private readonly options: TestEntryOptions) {
        options.pool.onOpen((link, address) => {
            link.onMessage(message => this.receive(message));
            link.onClose(() => this.lost(address));
        });
    }

    get clock(): Clock {
        return this.options.clock;
    }

    get record(): HistoryRecorder {
        return this.options.record;
    }

    /** Returns the open link to a target, or opens one. Undefined if the target is unreachable. */
    async tryLink(target: string): Promise<Link | undefined> {
        const address = this.options.addressOf(target);
        this.linked.set(keyOf(address), target);
        const link = await this.options.pool.connect(address);
        return link.isOk ? link.value : undefined;
    }

    async link(target: string): Promise<Link> {
        const link = await this.tryLink(target);
        assert(link !== undefined, `no link to ${target}`);
        return link;
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

    private lost(address: Address): void {
        const target = this.linked.get(keyOf(address));
        if (target !== undefined) {
            this.onLost?.(target);
        }
    }

    private receive(message: Message): void {
        this.received.push(message);
        switch (message.type) {
            case "tokens": {
                const answer = this.answer(message.request, message.epoch);
                answer.first ??= message.position;
                assert(message.position === answer.first + answer.ids.length, "token positions are contiguous");
                assert(answer.done === undefined && answer.failed === undefined, "nothing follows the end");
                answer.ids.push(...message.ids);
                answer.text += message.texts.join("");
                break;
            }
            case "done":
                this.end(message.request, message.epoch).done = message;
                break;
            case "failed":
                this.end(message.request, message.epoch).failed = message;
                break;
            default:
        }
        this.onMessage?.(message);
    }

    private end(request: string, epoch: number): TestAnswer {
        const answer = this.answer(request, epoch);
        assert(answer.done === undefined && answer.failed === undefined, "an answer ends once");
        return answer;
    }
}

function keyOf({ host, port }: Address): string {
    return `${host} ${port}`;
}

/** Distributes the layers of a model over targets as evenly as possible. @internal */
export function chainOf(targets: readonly string[], layers: number): Stage[] {
    return targets.map((target, index) => ({
        target,
        host: target,
        port: 1,
        first: Math.floor(index * layers / targets.length),
        last: Math.floor((index + 1) * layers / targets.length) - 1,
    }));
}

/** The prompt of {@link openMessage}. @internal */
export const testPrompt = "Why does the mast of the lift truck drift down under load?";

/** Creates an `open` message with default values. @internal */
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
        prompt: testPrompt,
        produced: [],
        sampling: { maxTokens: 20, stop: [], seed: 7 },
        exporters: [],
        credit: 1000,
        ...changes,
    };
}
