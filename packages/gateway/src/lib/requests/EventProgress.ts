import { type Clock } from "@waxwingspar/utils";
import { type DeliveredEvents, eventNumber } from "./DeliveredEvents.js";
import { type StreamEvent } from "./EventSplitter.js";

/** What a stream has brought. */
export interface StreamInput {
    /** Bytes that the reply has brought so far, its framing included. */
    readonly bytes: number;
    /** How many of the last ones belong to no complete event. */
    readonly rest: number;
    /** The events that the last bytes have completed. */
    readonly events: readonly StreamEvent[];
}

/**
 * Maximum bytes of a stream without a further event. It holds the tokens of a long answer, while an event carries a few.
 */
export const maxEventBytes = 262_144;
/**
 * Milliseconds for which bytes may arrive without a further event before the run is suspected. A part of an event that
 * was lost on the way arrives earlier, and a caller that abandons a stream after a gap of two seconds can still get the
 * next event over another chain.
 */
export const maxEventTime = 600;

/**
 * Watches whether the bytes of a run bring further events. A target that brings nothing at all is not judged here: it
 * may only be slow.
 */
export class EventProgress {
    /** Bytes that the reply had brought up to its last further event. */
    private usefulBytes = 0;
    private bytes = 0;
    /** When the first byte since then arrived, on the clock. */
    private since: number | undefined;
    private highestId = -Infinity;

    constructor(private readonly clock: Clock, private readonly delivered: Pick<DeliveredEvents, "isNew" | "lastId">) {}

    /** Whether the stream has brought more bytes without a further event than any event has. */
    get isExceeded(): boolean {
        return this.bytes - this.usefulBytes > maxEventBytes;
    }

    /**
     * Records received bytes.
     *
     * @returns Whether bytes without a further event have been arriving for too long since the last call that returned
     * true.
     */
    receive({ bytes, rest, events }: StreamInput): boolean {
        const now = this.clock.now();
        this.bytes = bytes;
        if (this.takeFurtherEvents(events)) {
            this.usefulBytes = bytes - rest;
            this.since = rest > 0 ? now : undefined;
            return false;
        }
        this.since ??= now;
        const isLate = now - this.since > maxEventTime;
        this.since = isLate ? now : this.since;
        return isLate;
    }

    /** Begins to measure the time anew, since this process has not been reading. */
    restartTime(): void {
        this.since = this.since === undefined ? undefined : this.clock.now();
    }

    /**
     * Whether events take the run further. In a stream with numbers as ids these are events with a higher id than
     * before, also if the caller has them already: a new run may repeat the answer from its start.
     */
    private takeFurtherEvents(events: readonly StreamEvent[]): boolean {
        let areFurther = false;
        for (const event of events) {
            const number = eventNumber(event.id);
            if (event.id === undefined) {
                areFurther ||= this.highestId === -Infinity && this.delivered.lastId === undefined;
            }
            else if (Number.isNaN(number)) {
                areFurther ||= this.delivered.isNew(event);
            }
            else if (number > this.highestId) {
                this.highestId = number;
                areFurther = true;
            }
        }
        return areFurther;
    }
}
