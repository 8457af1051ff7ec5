import { type CallerExchange } from "./CallerExchange.js";
import { type RequestContext } from "./RequestContext.js";

/** Timers may fire a little before the clock shows their time, in milliseconds. */
const timerSlack = 2;

/**
 * Why an answer was ended by this process: no run of it was left at any target, its time was up, or nothing but a suspicion spoke
 * against the target that may still have run it.
 */
export type GiveUpCause = "target" | "deadline" | "suspicion";

/** Whether a request has no time left. */
export function isPastDeadline({ timeLeft }: CallerExchange): boolean {
    return timeLeft <= timerSlack;
}

/**
 * Counts and logs that the answer to a request which may have run is ended by this process.
 *
 * @param evidence - What else was known at that moment.
 */
export function noteGivenUp(
    { observation }: RequestContext,
    caller: CallerExchange,
    cause: GiveUpCause,
    evidence: Readonly<Record<string, string | number | undefined>>,
): void {
    observation.metrics.answersGivenUp.add({ kind: caller.route.kind, cause });
    observation.logs.requests.warn({
        request: caller.request.id,
        digest: caller.digest,
        cause,
        timeLeft: Math.round(caller.timeLeft),
        ...evidence,
    }, "answer given up");
}
