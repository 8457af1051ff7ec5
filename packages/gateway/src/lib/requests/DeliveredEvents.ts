import { type Clock } from "@waxwingspar/utils";
import { type StreamEvent } from "./EventSplitter.js";

/** The events of a stream that its caller has received. */
export class DeliveredEvents {
    private events = 0;
    private lastAt: number;

    /** @param lastEventId - Id of the last event that the caller has received before. */
    constructor(private readonly clock: Clock, private lastEventId: string | undefined) {
        this.lastAt = clock.now();
    }

    /** The number of events of this answer. */
    get count(): number {
        return this.events;
    }

    /** Whether the caller has received a part of the answer. */
    get hasBegun(): boolean {
        return this.events > 0;
    }

    get lastId(): string | undefined {
        return this.lastEventId;
    }

    /** Milliseconds since the last event, or since the start. */
    get silence(): number {
        return this.clock.now() - this.lastAt;
    }

    /** Whether the caller lacks an event. */
    isNew({ id }: StreamEvent): boolean {
        return isAfter(id, this.lastEventId);
    }

    /**
     * Selects the events that the caller lacks. A new run may begin with events that the caller already has, and a target
     * may send an event again. In a stream with numbers as ids, the ids of what a caller gets rise strictly; an id that is no
     * number is then not an event of the answer.
     *
     * @param events - The events of one read, in order.
     */
    selectNew(events: readonly StreamEvent[]): StreamEvent[] {
        let last = this.lastEventId;
        return events.filter(({ id }) => {
            const isNew = isAfter(id, last);
            last = isNew ? id ?? last : last;
            return isNew;
        });
    }

    /** Records events that are sent to the caller. */
    add(events: readonly StreamEvent[]): void {
        this.events += events.length;
        this.lastAt = this.clock.now();
        this.lastEventId = events.findLast(({ id }) => id !== undefined)?.id ?? this.lastEventId;
    }
}

/** @returns The id of an event as a number; NaN if it is not one. */
export function eventNumber(id: string | undefined): number {
    return id !== undefined && /^\d+$/.test(id) ? Number(id) : NaN;
}

/** Whether an event with an id may follow the last one that had an id. */
function isAfter(id: string | undefined, last: string | undefined): boolean {
    return id === undefined || Number.isNaN(eventNumber(last)) || eventNumber(id) > eventNumber(last);
}
