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

    /**
     * Whether the caller lacks an event; a new run may begin with events that the caller already has. In a stream with
     * numbers as ids, an id that is no number is not an event of the answer.
     */
    isNew({ id }: StreamEvent): boolean {
        if (id === undefined || this.lastEventId === undefined) {
            return true;
        }
        const [number, last] = [Number(id), Number(this.lastEventId)];
        return Number.isNaN(last) || number > last;
    }

    /** Records events that are sent to the caller. */
    add(events: readonly StreamEvent[]): void {
        this.events += events.length;
        this.lastAt = this.clock.now();
        this.lastEventId = events.at(-1)?.id ?? this.lastEventId;
    }
}
