import { type Clock, type Timer } from "@waxwingspar/utils";

interface Event {
    readonly due: number;
    readonly order: number;
    callback: (() => void) | undefined;
}

/**
 * A virtual clock that advances from event to event. Events are kept in a binary heap, to support millions of them.
 *
 * @internal
 */
export class EventClock implements Clock {
    private time = 0;
    private scheduled = 0;
    private readonly heap: Event[] = [];

    now(): number {
        return this.time;
    }

    date(): Date {
        return new Date(this.time);
    }

    schedule(callback: () => void, delay: number): Timer {
        const event: Event = { due: this.time + Math.max(0, delay), order: this.scheduled++, callback };
        this.push(event);
        return {
            cancel: () => {
                event.callback = undefined;
            },
        };
    }

    /** Runs all events due up to the given time, in order. */
    runUntil(end: number): void {
        for (let next = this.heap[0]; next !== undefined && next.due <= end; next = this.heap[0]) {
            this.popFirst();
            this.time = next.due;
            next.callback?.();
        }
        this.time = end;
    }

    private push(event: Event): void {
        let place = this.heap.length;
        this.heap.push(event);
        while (place > 0) {
            const parent = (place - 1) >> 1;
            if (!isBefore(event, this.heap[parent]!)) {
                break;
            }
            this.heap[place] = this.heap[parent]!;
            place = parent;
        }
        this.heap[place] = event;
    }

    private popFirst(): void {
        const last = this.heap.pop()!;
        if (this.heap.length === 0) {
            return;
        }
        let place = 0;
        for (;;) {
            let child = 2 * place + 1;
            if (child >= this.heap.length) {
                break;
            }
            if (child + 1 < this.heap.length && isBefore(this.heap[child + 1]!, this.heap[child]!)) {
                child++;
            }
            if (!isBefore(this.heap[child]!, last)) {
                break;
            }
            this.heap[place] = this.heap[child]!;
            place = child;
        }
        this.heap[place] = last;
    }
}

function isBefore(a: Event, b: Event): boolean {
    return a.due < b.due || (a.due === b.due && a.order < b.order);
}
