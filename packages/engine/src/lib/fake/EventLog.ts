import { type Clock, type Random } from "@waxwingspar/utils";
import { type CacheEvent } from "../Engine.js";

const eventsKept = 4096;

/** @internal */
export interface EventLogOptions {
    readonly clock: Clock;
    readonly random: Random;
    /** Milliseconds until an event can be read. */
    readonly delay: number;
    /** The share of events that are lost, from 0 to 1. */
    readonly gapRate: number;
}

/**
 * Cache events that come late, with gaps.
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
        if (this.events.length > 2 * eventsKept) {
            this.events = this.events.slice(-eventsKept);
        }
    }

    after(sequence: number): CacheEvent[] {
        const now = this.options.clock.now();
        return this.events
            .filter(({ event, readableAt }) => event.sequence > sequence && readableAt <= now)
            .map(({ event }) => event);
    }
}
