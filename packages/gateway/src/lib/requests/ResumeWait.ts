import { type Clock, type Timer } from "@waxwingspar/utils";
import { type DeliveredEvents } from "./DeliveredEvents.js";

/** Options of {@link ResumeWait}. */
export interface ResumeWaitOptions {
    readonly clock: Clock;
    readonly delivered: Pick<DeliveredEvents, "silence">;
}

/** Milliseconds between two attempts to find a chain that can resume an interrupted stream. */
const interval = 200;
/**
 * Maximum milliseconds after its last event that a stream waits for such a chain: callers abandon a stream that is
 * silent for two seconds. A lost layer range is bypassed by another chain, or reloaded, within 0.4 to 1.6 s.
 */
const maxSilence = 1_800;

/** The wait of an interrupted stream for a chain that can resume it. */
export class ResumeWait {
    private timer: Timer | undefined;

    constructor(private readonly options: ResumeWaitOptions) {}

    /** Milliseconds for which the stream may still wait; negative when it has waited for too long. */
    get timeLeft(): number {
        return maxSilence - this.options.delivered.silence;
    }

    /** Calls the function when another attempt is due. */
    start(onDue: () => void): void {
        this.timer = this.options.clock.schedule(onDue, interval);
    }

    cancel(): void {
        this.timer?.cancel();
    }
}
