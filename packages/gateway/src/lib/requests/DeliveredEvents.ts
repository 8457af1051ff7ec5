import { type Clock } from "@waxwingspar/utils";
import { type StreamEvent } from "./EventSplitter.js";

/** The events of a stream that its caller has received. */
export class DeliveredEvents {
    private events = 0;
    private lastAt: number;
    private stepKind: StepKind = "unknown";
    private isDoubtful = false;

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

    /** The steps between the ids so far. */
    get steps(): StepKind {
        return this.stepKind;
    }

    /** Whether the id of the last event may be wrong or cannot be sent, so that the answer cannot be continued after it. */
    get isInDoubt(): boolean {
        return this.isDoubtful;
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
     * Records events that are sent to the caller.
     *
     * @param isInDoubt - Whether their ids may be wrong, so that no other run can continue after them.
     */
    add(events: readonly StreamEvent[], isInDoubt = false): void {
        for (const { id } of events) {
            if (id !== undefined) {
                this.stepKind = addStep(this.stepKind, this.lastEventId, id);
                this.lastEventId = id;
            }
        }
        this.events += events.length;
        this.lastAt = this.clock.now();
        this.isDoubtful = isInDoubt || !writableId.test(this.lastEventId ?? "");
    }
}

/** Ids that can be named in a header, as the request of a run that continues the answer does. */
const writableId = /^[\t\x20-\x7e\x80-\xff]*$/;

/** @returns The id of an event as a number; NaN if it is none, or one that is too long to be exact. */
export function eventNumber(id: string | undefined): number {
    return id !== undefined && /^\d{1,15}$/.test(id) ? Number(id) : NaN;
}

/** The steps between ids that are numbers: each was 1, one at least was larger, or there were none. */
export type StepKind = "consecutive" | "gaps" | "unknown";

/** Adds the step from one id to the next. A step back belongs to a run that repeats the answer from its start. */
export function addStep(steps: StepKind, last: string | undefined, next: string): StepKind {
    const step = eventNumber(next) - eventNumber(last);
    if (step > 1) {
        return "gaps";
    }
    return step === 1 && steps === "unknown" ? "consecutive" : steps;
}

/** Whether an event with an id may follow the last one that had an id. */
function isAfter(id: string | undefined, last: string | undefined): boolean {
    return id === undefined || Number.isNaN(eventNumber(last)) || eventNumber(id) > eventNumber(last);
}
