import { type Clock, type Random } from "@waxwingspar/utils";
import { type CacheEvent } from "../Engine.js";

/** The log is trimmed to this many events once it holds twice as many. */
const retainedEvents = 4096;

/** @internal */
export interface EventLogOptions {
    readonly clock: Clock;
    readonly random: Random;
    /** Milliseconds before an event becomes readable. */
    readonly delay: number;
    /** Fraction of events that are lost, from 0 to 1. */
    readonly gapRate: number;
}

/**
 * A log of cache events that become readable after a delay; some are lost, which leaves gaps in the sequence numbers.
 *
 * @internal
 */
export class EventLog {
    private sequence = 0;
    private events: { readonly event: CacheEvent; readonly readableAt: number; }[] = [];

    constructor(private readonly options: EventLogOptions) {}

    add(event: Omit<CacheEvent, "sequence">): void {
        this.sequence++;
        if (this.options.random.next() < this.options.gapRate) {
            return;
        }
        const readableAt = this.options.clock.now() + this.options.delay;
        this.events.push({ event: { sequence: this.sequence, ...event }, readableAt });
        if (this.events.length > 2 * retainedEvents) {
            this.events = this.events.slice(-retainedEvents);
        }
    }

    after(sequence: number): CacheEvent[] {
        const now = this.options.clock.now();
        return this.events
            .filter(({ event, readableAt }) => event.sequence > sequence && readableAt <= now)
            .map(({ event }) => event);
    }
}
