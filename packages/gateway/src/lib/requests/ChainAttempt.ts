import { type Timer } from "@waxwingspar/utils";
import { type ChainLoad } from "../chains/ChainRouter.js";
import { type ChainService, type ChainUser } from "../chains/ChainService.js";
import { safeReplyAge } from "../crashes/CrashGuard.js";
import { type Target } from "../directory/Target.js";
import { type ExchangeFailure, type OpenExchange, type ReplyMessage } from "../upstream/Exchange.js";
import { type CallerExchange } from "./CallerExchange.js";
import { firstFailure, type Send } from "./CrashCheck.js";
import { type DeliveredEvents } from "./DeliveredEvents.js";
import { EventProgress, maxEventBytes } from "./EventProgress.js";
import { EventSequence, type SequencedEvents } from "./EventSequence.js";
import { EventSplitter, type StreamEvent } from "./EventSplitter.js";
import { type ReplyHead } from "./messages.js";
import { openExchange } from "./openExchange.js";
import { type RequestContext } from "./RequestContext.js";

/** Receives the events of an attempt. The last call is either `onEnd` or `onFailure`. */
export interface ChainAttemptListener extends ChainUser {
    onHead(attempt: ChainAttempt, response: ReplyMessage): void;
    onData(attempt: ChainAttempt, chunk: Buffer): void;
    /** Called with events that were held, as no further event has shown in time whether their ids are right. */
    onEvents(attempt: ChainAttempt, events: readonly StreamEvent[], isInDoubt: boolean): void;
    onEnd(attempt: ChainAttempt): void;
    onFailure(attempt: ChainAttempt, failure: ExchangeFailure): void;
    /**
     * Called when no event has arrived within a multiple of the route's latency target, or when bytes have been arriving
     * for some time without a further event.
     */
    onLateEvent(attempt: ChainAttempt, reason: string): void;
}

/** Options of {@link ChainAttempt}. */
export interface ChainAttemptOptions {
    readonly context: RequestContext;
    readonly caller: CallerExchange;
    readonly service: ChainService;
    readonly load: ChainLoad;
    /** The first target of the chain. */
    readonly target: Target;
    /** 0 is the most urgent; undefined for the default of the targets. */
    readonly priority: number | undefined;
    /** Releases the slot that the attempt uses. */
    readonly releaseSlot: () => void;
    /** Whether the request itself may still be sent when the connection is established. */
    readonly maySend: () => boolean;
    /** The events that the caller has received. */
    readonly delivered: DeliveredEvents;
    readonly listener: ChainAttemptListener;
}

/** Milliseconds for which an event is held whose id jumps. A later one would count as late with callers. */
const maxHold = 100;
/** Multiple of the latency target after which another chain is tried if no event has arrived. */
const firstEventTimeoutFactor = 3;

/** One send of a streamed request over a chain of targets, until it ends or is abandoned. */
export class ChainAttempt {
    readonly startedAt: number;
    /** True for a reply that is not a stream, whose bytes are forwarded as they are. */
    isPlain = false;
    /** True once the request has been sent over another chain as well. */
    isSuspected = false;
    response: ReplyMessage | undefined;
    private readonly exchange: OpenExchange;
    private readonly user: ChainUser;
    /** Milliseconds to the first event that were predicted at the start. */
    private readonly expected: number | undefined;
    private readonly splitter = new EventSplitter();
    private readonly sequence: EventSequence;
    private holdTimer: Timer | undefined;
    private readonly progress: EventProgress;
    /** Whether the bytes that arrived last show that a further event is late. */
    private isLate = false;
    private readonly firstEventTimer: Timer;
    private firstEventTime: number | undefined;
    private lastEventTime: number | undefined;
    private paused = false;
    private isClosed = false;

    constructor(private readonly options: ChainAttemptOptions) {
        const { context, caller, service, load, target, delivered, priority, maySend, listener } = options;
        const { lastId: lastEventId } = delivered;
        this.startedAt = context.clock.now();
        this.user = {
            leaveChain: context.guard.wrap(
                "chain",
                (left: ChainLoad, reason: string) => listener.leaveChain(left, reason),
            ),
        };
        this.sequence = new EventSequence(delivered);
        this.progress = new EventProgress(context.clock, delivered);
        this.exchange = openExchange({
            context,
            caller,
            target,
            chain: load.chain.hops,
            lastEventId,
            priority,
            maySend,
            listener: {
                onHead: response => {
                    this.response = response;
                    listener.onHead(this, response);
                },
                onData: chunk => {
                    listener.onData(this, chunk);
                    this.judgeProgress();
                },
                onEnd: () => listener.onEnd(this),
                onFailure: failure => listener.onFailure(this, failure),
            },
        });
        // Streams that are resumed arrive together and process what they have delivered again, so they measure nothing.
        this.expected = lastEventId === undefined
            ? service.expectFirstEvent(load, caller.request.tokens?.prompt)
            : undefined;
        service.begin(load, this.user);
        this.firstEventTimer = context.clock.schedule(
            () => listener.onLateEvent(this, "no first event"),
            caller.route.latencyTarget * firstEventTimeoutFactor,
        );
    }

    get load(): ChainLoad {
        return this.options.load;
    }

    get target(): Target {
        return this.options.target;
    }

    /** The target of the chain behind the first one that has an address; undefined if there is none. */
    private findTarget(address: string | undefined): Target | undefined {
        const { load, service } = this.options;
        const [, ...later] = load.chain.hops;
        const hop = later.find(hop => hop.address === address);
        const target = hop === undefined ? undefined : service.target(hop.targetId);
        return target?.startedAt === hop?.startedAt ? target : undefined;
    }

    /** True while no byte can have reached the target. */
    get neverSent(): boolean {
        return this.exchange.neverSent;
    }

    /** True while reading from the target is paused because the caller does not keep up. */
    get isPaused(): boolean {
        return this.paused;
    }

    /** Whether its reply has the status of a success. */
    get isSuccess(): boolean {
        return this.response?.statusCode !== undefined && this.response.statusCode < firstFailure;
    }

    /** Time of the first event on the clock; undefined before it. */
    get firstEventAt(): number | undefined {
        return this.firstEventTime;
    }

    /** Whether its first event came so long ago that the request has not crashed its target. */
    get hasLasted(): boolean {
        const { firstEventTime, options: { context: { clock } } } = this;
        return firstEventTime !== undefined && clock.now() - firstEventTime >= safeReplyAge;
    }

    /** What is told of this run if its target may have crashed. */
    get send(): Send {
        return { target: this.target, startedAt: this.startedAt, repliedAt: this.firstEventTime };
    }

    get hasPartialEvent(): boolean {
        return this.splitter.hasPartialEvent;
    }

    /** Reads the head of the reply, and records what it says about the targets of the chain. */
    readHead({ statusCode: status = 0, headers }: ReplyMessage): ReplyHead {
        const { context: { wire, replies }, caller, target } = this.options;
        const head = wire.readReplyHead(status, headers);
        const faultyTarget = this.findTarget(head.faultyAddress);
        replies.record({ target, faultyTarget, status, head, requestId: caller.request.id, sentAt: this.startedAt });
        return head;
    }

    /** Parses bytes of the reply. @returns The events that they complete, or confirm, and that the caller lacks. */
    take(chunk: Buffer): SequencedEvents {
        const events = this.splitter.push(chunk);
        if (events.length > 0) {
            this.noteEvents();
        }
        this.isLate = this.progress.receive({
            bytes: this.exchange.bytesRead,
            rest: this.splitter.heldBytes,
            events,
        });
        const sequenced = this.sequence.take(events);
        this.holdTimer?.cancel();
        if (this.sequence.isHolding) {
            this.holdTimer = this.options.context.clock.schedule(() => this.releaseHeld(), maxHold);
        }
        return sequenced;
    }

    /** Ends the sequence of events at the end of the reply. @returns The events that were held. */
    endSequence(): SequencedEvents {
        return this.sequence.end();
    }

    /** Removes and returns what an answer that has ended brought after its last event. */
    takeRest(): Buffer {
        return this.splitter.takeRest();
    }

    /** Forwards bytes to the caller, at the caller's pace. */
    forward(bytes: Buffer): void {
        if (bytes.length > 0 && !this.options.caller.write(bytes)) {
            this.paused = true;
            this.exchange.pause();
        }
    }

    resume(): void {
        this.paused = false;
        this.progress.restartTime();
        this.exchange.resume();
    }

    /** Ends the attempt, if it has not ended, and releases its slot and its load on the chain. */
    close(): void {
        if (this.isClosed) {
            return;
        }
        this.isClosed = true;
        const { context, service, load, releaseSlot } = this.options;
        this.firstEventTimer.cancel();
        this.holdTimer?.cancel();
        this.exchange.cancel();
        service.end(load, this.user, this.firstEventTime !== undefined);
        releaseSlot();
        context.observation.metrics.sends.add({ result: "stream" });
    }

    /** Ends or suspects a run that brings bytes without further events, once those that it brought are forwarded. */
    private judgeProgress(): void {
        const { listener } = this.options;
        if (this.isClosed) {
            return;
        }
        if (this.progress.isExceeded) {
            const reason = `more than ${maxEventBytes} bytes without a further event`;
            listener.onFailure(this, { neverSent: false, isFlood: true, reason });
        }
        else if (this.isLate) {
            listener.onLateEvent(this, "bytes without a further event");
        }
    }

    private releaseHeld(): void {
        this.options.listener.onEvents(this, this.sequence.release(), true);
    }

    private noteEvents(): void {
        const { context, service, load } = this.options;
        const now = context.clock.now();
        const interval = this.lastEventTime === undefined ? undefined : now - this.lastEventTime;
        if (interval === undefined) {
            this.firstEventTimer.cancel();
            service.firstEvent(load, now - this.startedAt, this.expected);
        }
        this.firstEventTime ??= now;
        this.lastEventTime = now;
        service.event(load, interval);
    }
}
