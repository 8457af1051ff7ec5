import { type Clock, failure, SystemClock, transportCodes } from "@waxwingspar/utils";
import { BaseLink, type Wire } from "../BaseLink.js";
import { buildFrame, decodeFrame, encodeMessage } from "../frames/codec.js";
import { lengthBytes } from "../frames/FrameParser.js";
import { type Link, type RpcMethod } from "../Link.js";
import { type Hello } from "../messages/common.js";
import { type Message } from "../messages/Message.js";

/**
 * One end of an in-memory pair.
 *
 * @public
 */
export interface LinkEndOptions {
    /** The hello of this end, which is the `peer` of the other end's link. */
    readonly hello: Hello;
    /** JSON-RPC methods that this end answers. */
    readonly methods?: Readonly<Record<string, RpcMethod>>;
}

/**
 * Options of {@link linkPair}.
 *
 * @public
 */
export interface LinkPairOptions {
    readonly left: LinkEndOptions;
    readonly right: LinkEndOptions;
    /** The clock that measures delays. */
    readonly clock?: Clock;
    /** One-way delay in milliseconds; 0 delivers as soon as the current callback has returned. */
    readonly delay?: number;
}

/**
 * One direction of an in-memory pair, for a test to control.
 *
 * @public
 */
export interface LinkDirection {
    /** One-way delay in milliseconds for messages sent from now on. Order is kept. */
    delay: number;
    /** Messages sent and not yet delivered. */
    readonly inFlight: number;
    /** Stops delivery until {@link LinkDirection.release}, like a stalled connection. */
    hold(): void;
    /** Delivers the held messages and resumes delivery. */
    release(): void;
}

/**
 * Two connected links in one process, for tests.
 *
 * @public
 */
export interface LinkPair {
    readonly left: Link;
    readonly right: Link;
    readonly leftToRight: LinkDirection;
    readonly rightToLeft: LinkDirection;
    /** Drops everything in flight and closes both ends with `connectionLost`. */
    cut(): void;
}

/**
 * Connects two links in memory. Messages are encoded, decoded and checked as on a real link.
 *
 * @example
 * ```ts
 * const pair = linkPair({ left: { hello: entryHello }, right: { hello: agentHello }, clock, delay: 5 });
 * pair.right.onMessage(message => pair.right.send(answerTo(message)));
 * pair.rightToLeft.hold();
 * pair.cut();
 * ```
 * @public
 */
export function linkPair(options: LinkPairOptions): LinkPair {
    const clock = options.clock ?? new SystemClock();
    const leftToRight = new MemoryDirection(clock, options.delay ?? 0);
    const rightToLeft = new MemoryDirection(clock, options.delay ?? 0);
    const left = createEnd(options.left, options.right, clock, leftToRight);
    const right = createEnd(options.right, options.left, clock, rightToLeft);
    leftToRight.connect(left, right);
    rightToLeft.connect(right, left);
    function cut(): void {
        leftToRight.dropQueued();
        rightToLeft.dropQueued();
        const reason = failure(transportCodes.connectionLost, "the link was cut");
        left.ended(reason);
        right.ended(reason);
    }
    return { left, right, leftToRight, rightToLeft, cut };
}

function createEnd(own: LinkEndOptions, other: LinkEndOptions, clock: Clock, wire: Wire): BaseLink {
    return new BaseLink({ peer: other.hello, clock, methods: own.methods ?? {}, wire });
}

/** A queued item: an encoded message, or the end of the stream. */
type QueueItem = Buffer | "end";

class MemoryDirection implements Wire, LinkDirection {
    private readonly queue: { item: QueueItem; due: number; }[] = [];
    private held = false;
    private lastDue = 0;
    private from: BaseLink | undefined;
    private to: BaseLink | undefined;

    constructor(private readonly clock: Clock, public delay: number) {}

    get inFlight(): number {
        return this.queue.length;
    }

    get queuedBytes(): number {
        return this.queue.reduce((sum, { item }) => sum + (item === "end" ? 0 : item.length), 0);
    }

    connect(from: BaseLink, to: BaseLink): void {
        this.from = from;
        this.to = to;
    }

    send(message: Message): void {
        this.enqueue(Buffer.from(encodeMessage(message)));
    }

    close(): void {
        this.enqueue("end");
    }

    hold(): void {
        this.held = true;
    }

    release(): void {
        this.held = false;
        this.deliverDue();
    }

    dropQueued(): void {
        this.queue.length = 0;
    }

    private enqueue(item: QueueItem): void {
        const due = Math.max(this.lastDue, this.clock.now() + this.delay);
        this.lastDue = due;
        this.queue.push({ item, due });
        if (due <= this.clock.now()) {
            queueMicrotask(() => this.deliverDue());
            return;
        }
        this.clock.schedule(() => this.deliverDue(), due - this.clock.now());
    }

    private deliverDue(): void {
        while (!this.held) {
            const next = this.queue[0];
            if (next === undefined || next.due > this.clock.now()) {
                return;
            }
            this.queue.shift();
            this.deliver(next.item);
        }
    }

    private deliver(item: QueueItem): void {
        if (item === "end") {
            this.to?.ended(undefined);
            return;
        }
        const messages = decodeFrame(buildFrame([item]).subarray(lengthBytes));
        if (messages.isErr) {
            this.from?.ended(messages.error);
            this.to?.ended(messages.error);
            return;
        }
        messages.value.forEach(message => {
            const reason = this.to?.open === true ? this.to.receive(message) : undefined;
            if (reason !== undefined) {
                this.from?.ended(reason);
                this.to?.ended(reason);
            }
        });
    }
}
