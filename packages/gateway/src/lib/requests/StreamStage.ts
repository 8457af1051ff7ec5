import { type AttemptLimits } from "./AttemptLimits.js";
import { type CallerExchange } from "./CallerExchange.js";
import { type DeliveredEvents } from "./DeliveredEvents.js";
import { type Precedence } from "./precedence.js";
import { type ResumeWait } from "./ResumeWait.js";
import { maxSuspectedHold, newRequestHold, resumedHold } from "./SlotUse.js";

/** Options of {@link StreamStage}. */
export interface StreamStageOptions {
    readonly caller: CallerExchange;
    readonly delivered: Pick<DeliveredEvents, "hasBegun">;
    readonly limits: Pick<AttemptLimits, "mayHaveRun">;
    readonly resumeWait: Pick<ResumeWait, "timeLeft">;
}

/** How far a stream has come, which decides how urgent its next send is and how long that may be held. */
export class StreamStage {
    constructor(private readonly options: StreamStageOptions) {}

    /** A caller that reconnects sends the id of the last event that it received. */
    get precedence(): Precedence {
        const { delivered, caller } = this.options;
        return delivered.hasBegun || caller.request.lastEventId !== undefined ? "running" : "waiting";
    }

    /** Whether a target may have begun to run the request, so that its caller cannot be told to return. */
    get isResumed(): boolean {
        return this.precedence === "running" || this.options.limits.mayHaveRun;
    }

    /**
     * Milliseconds to wait for a slot; a second run of a request without an event is made only if one is free.
     *
     * @param runs - Number of runs in flight.
     */
    maxHold(runs: number): number {
        const { delivered, caller, resumeWait } = this.options;
        if (runs > 0) {
            return delivered.hasBegun ? maxSuspectedHold : 0;
        }
        return this.isResumed ? resumedHold(resumeWait.timeLeft) : newRequestHold(caller);
    }
}
