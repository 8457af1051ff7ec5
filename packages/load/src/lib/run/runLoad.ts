import { type Clock } from "@waxwingspar/utils";
import { type PlannedCall } from "../plan/LoadSettings.js";
import { type CallEnd } from "./CallEnd.js";

/** A call with its end. Times are milliseconds of the clock. @public */
export interface LoadRecord {
    readonly call: PlannedCall;
    readonly end: CallEnd;
    /** When the call was to be sent; waiting counts from here. */
    readonly dueAt: number;
    readonly sentAt: number;
    readonly endedAt: number;
}

/** @public */
export interface RunLoadOptions {
    readonly clock: Clock;
    /** In the order of their times. */
    readonly calls: readonly PlannedCall[];
    /** Makes one call; it must not throw. */
    readonly send: (call: PlannedCall) => Promise<CallEnd>;
    /** Calls that may be open at once; further ones are not sent. */
    readonly maxOpen: number;
}

/**
 * Sends every call at its time, whatever becomes of those before, and waits for all ends.
 *
 * @public
 */
export function runLoad(options: RunLoadOptions): Promise<LoadRecord[]> {
    return new Promise(resolve => new LoadRun(options, resolve).sendDue());
}

class LoadRun {
    private readonly records: LoadRecord[] = [];
    private readonly startedAt: number;
    private next = 0;
    private open = 0;

    constructor(
        private readonly options: RunLoadOptions,
        private readonly ended: (records: LoadRecord[]) => void,
    ) {
        this.startedAt = options.clock.now();
    }

    sendDue(): void {
        const { clock, calls } = this.options;
        for (let call = calls[this.next]; call !== undefined; call = calls[this.next]) {
            const wait = this.startedAt + call.at - clock.now();
            if (wait > 0) {
                clock.schedule(() => this.sendDue(), wait);
                return;
            }
            this.next++;
            this.begin(call);
        }
        this.endIfDone();
    }

    private begin(call: PlannedCall): void {
        const { clock, send, maxOpen } = this.options;
        const sentAt = clock.now();
        if (this.open >= maxOpen) {
            this.note(call, { outcome: "not sent", pieceTimes: [] }, sentAt);
            return;
        }
        this.open++;
        void send(call).then(end => {
            this.open--;
            this.note(call, end, sentAt);
            this.endIfDone();
        });
    }

    private note(call: PlannedCall, end: CallEnd, sentAt: number): void {
        const dueAt = this.startedAt + call.at;
        this.records.push({ call, end, dueAt, sentAt, endedAt: this.options.clock.now() });
    }

    private endIfDone(): void {
        if (this.next === this.options.calls.length && this.open === 0) {
            this.ended(this.records);
        }
    }
}
