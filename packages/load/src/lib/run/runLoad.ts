import { type Clock } from "@waxwingspar/utils";
import { type PlannedCall } from "../plan/LoadSettings.js";
import { type CallEnd } from "./CallEnd.js";

/** A call with its result. Times are in milliseconds of the clock. @public */
export interface LoadRecord {
    readonly call: PlannedCall;
    readonly end: CallEnd;
    /** When the call was planned to be sent; latencies are measured from here. */
    readonly dueAt: number;
    readonly sentAt: number;
    readonly endedAt: number;
}

/** @public */
export interface RunLoadOptions {
    readonly clock: Clock;
    /** Sorted by their times. */
    readonly calls: readonly PlannedCall[];
    /** Sends one call; the promise must not reject. */
    readonly send: (call: PlannedCall) => Promise<CallEnd>;
    /** Maximum number of calls in flight; calls due beyond it are not sent. */
    readonly maxOpen: number;
}

/**
 * Sends every call at its planned time, whether or not earlier ones have ended, and waits until all have ended.
 *
 * @public
 */
export function runLoad(options: RunLoadOptions): Promise<LoadRecord[]> {
    return new Promise(resolve => new LoadRun(options, resolve).sendDue());
}

class LoadRun {
    private readonly records: LoadRecord[] = [];
    private readonly startedAt: number;
    private nextIndex = 0;
    /** Number of calls in flight. */
    private open = 0;

    constructor(
        private readonly options: RunLoadOptions,
        private readonly ended: (records: LoadRecord[]) => void,
    ) {
        this.startedAt = options.clock.now();
    }

    sendDue(): void {
        const { clock, calls } = this.options;
        for (let call = calls[this.nextIndex]; call !== undefined; call = calls[this.nextIndex]) {
            const wait = this.startedAt + call.at - clock.now();
            if (wait > 0) {
                clock.schedule(() => this.sendDue(), wait);
                return;
            }
            this.nextIndex++;
            this.start(call);
        }
        this.resolveIfDone();
    }

    private start(call: PlannedCall): void {
        const { clock, send, maxOpen } = this.options;
        const sentAt = clock.now();
        if (this.open >= maxOpen) {
            this.record(call, { outcome: "not sent", pieceTimes: [] }, sentAt);
            return;
        }
        this.open++;
        void send(call).then(end => {
            this.open--;
            this.record(call, end, sentAt);
            this.resolveIfDone();
        });
    }

    private record(call: PlannedCall, end: CallEnd, sentAt: number): void {
        const dueAt = this.startedAt + call.at;
        this.records.push({ call, end, dueAt, sentAt, endedAt: this.options.clock.now() });
    }

    private resolveIfDone(): void {
        if (this.nextIndex === this.options.calls.length && this.open === 0) {
            this.ended(this.records);
        }
    }
}
