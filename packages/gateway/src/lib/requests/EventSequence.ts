import { addStep, type DeliveredEvents, eventNumber, type StepKind } from "./DeliveredEvents.js";
import { type StreamEvent } from "./EventSplitter.js";

/** Stands for the number before the first one. */
const beforeFirst = -1;

/** What the events of one read mean for an answer. */
export interface SequencedEvents {
    /** The events that the caller lacks, in order. */
    readonly events: readonly StreamEvent[];
    /** Why the run cannot be used any further; undefined while its ids rise. */
    readonly contradiction: string | undefined;
    /** Whether the contradiction may concern the last event that the caller has received. */
    readonly isDeliveredInDoubt: boolean;
}

/**
 * Selects the events of one run that its caller lacks, and judges the run by their ids. In a sound run ids that are
 * numbers rise strictly. If one does not, it cannot be told which pieces of the answer are missing, so the run has failed.
 *
 * In an answer whose ids have been consecutive, an event whose id jumps, or that has none, is held until the next one
 * confirms it. Otherwise the caller might have a piece of the answer that another run brings again, or an id that no other
 * run can continue from.
 */
export class EventSequence {
    /** The latest event with an id that this run has brought. */
    private last: StreamEvent | undefined;
    /** The number before that one. */
    private previousNumber = beforeFirst;
    /** Whether the caller lacked the latest event with an id. */
    private wasLastNew = false;
    private steps: StepKind = "unknown";
    /** An event whose id jumped, or that has none, and those without an id behind it. */
    private held: StreamEvent[] = [];

    /** @param delivered - What the caller has received, from this run or others. */
    constructor(private readonly delivered: Pick<DeliveredEvents, "isNew" | "lastId" | "steps">) {}

    /** Whether an event is held. */
    get isHolding(): boolean {
        return this.held.length > 0;
    }

    /** Takes the events of one read, in order. */
    take(events: readonly StreamEvent[]): SequencedEvents {
        const selected: StreamEvent[] = [];
        for (const event of events) {
            if (event.id === undefined) {
                (this.isHolding || this.isConsecutive ? this.held : selected).push(event);
                continue;
            }
            const reason = this.findContradiction(event);
            if (reason !== undefined) {
                return this.contradict(selected, reason);
            }
            selected.push(...this.release());
            const isNew = this.delivered.isNew(event);
            if (isNew && this.isDoubtful(event)) {
                this.held.push(event);
            }
            else if (isNew) {
                selected.push(event);
            }
            this.note(event, isNew);
        }
        return { events: selected, contradiction: undefined, isDeliveredInDoubt: false };
    }

    /** Ends the run in order. @returns What is held, as nothing has contradicted it. */
    end(): SequencedEvents {
        const known = eventNumber(this.delivered.lastId);
        const isBehind = this.last !== undefined && !this.isHolding && eventNumber(this.last.id) < known;
        const contradiction = isBehind ? `the end after id ${this.last?.id}, before ${known}` : undefined;
        return { events: this.release(), contradiction, isDeliveredInDoubt: false };
    }

    /** Removes and returns what is held: the next event has confirmed it, or none has come in time. */
    release(): StreamEvent[] {
        const released = this.held;
        this.held = [];
        this.steps = released.some(({ id }) => id !== undefined) ? "gaps" : this.steps;
        return released;
    }

    /** Drops the latest event if its id may be the wrong one, unless the caller has received it already. */
    private contradict(selected: readonly StreamEvent[], reason: string): SequencedEvents {
        const isInDoubt = !this.isHolding && this.wasLastNew && this.isLastOdd;
        this.held = [];
        const index = isInDoubt ? selected.findIndex(one => one === this.last) : selected.length;
        const events = selected.slice(0, index === -1 ? selected.length : index);
        return { events, contradiction: reason, isDeliveredInDoubt: index === -1 };
    }

    /** Id of the latest event of the run, or of the answer before the run. */
    private get lastId(): string | undefined {
        return this.last?.id ?? this.delivered.lastId;
    }

    private note(event: StreamEvent, isNew: boolean): void {
        const known = eventNumber(this.lastId);
        this.previousNumber = Number.isNaN(known) ? beforeFirst : known;
        if (!this.isHolding && event.id !== undefined) {
            this.steps = addStep(this.steps, this.lastId, event.id);
        }
        this.last = event;
        this.wasLastNew = isNew;
    }

    private findContradiction(event: StreamEvent): string | undefined {
        const known = eventNumber(this.lastId);
        const number = eventNumber(event.id);
        if (Number.isNaN(known)) {
            return undefined;
        }
        if (Number.isNaN(number)) {
            return `an id that is no number after ${known}`;
        }
        const isRising = this.last === undefined || number > known;
        return isRising && !this.hasSkipped(event) ? undefined : `id ${number} after ${known}`;
    }

    /** Whether the events behind the ones that the caller has, or the one that came without an id, lack theirs. */
    private hasSkipped(event: StreamEvent): boolean {
        const isFirstNew = this.last !== undefined && !this.wasLastNew && this.delivered.isNew(event);
        const isBehindUnnumbered = this.isHolding && this.held[0]?.id === undefined;
        return (isFirstNew || isBehindUnnumbered) && this.isDoubtful(event);
    }

    /** Whether the ids of the answer have been consecutive numbers. */
    private get isConsecutive(): boolean {
        const kinds = [this.steps, this.delivered.steps];
        return kinds.includes("consecutive") && !kinds.includes("gaps");
    }

    /** Whether the id of an event jumps in an answer whose ids have been consecutive. */
    private isDoubtful({ id }: StreamEvent): boolean {
        return this.isConsecutive && eventNumber(id) > eventNumber(this.lastId) + 1;
    }

    /** Whether the id of the latest event does not follow the one before it, so that it may be the wrong one. */
    private get isLastOdd(): boolean {
        return eventNumber(this.last?.id) !== this.previousNumber + 1;
    }
}
