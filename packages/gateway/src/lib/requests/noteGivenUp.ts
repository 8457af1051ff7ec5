import { type CallerExchange } from "./CallerExchange.js";
import { type RequestContext } from "./RequestContext.js";

/** Milliseconds by which a timer may fire before its time on the clock. */
const timerSlack = 2;

/**
 * Why the gateway gave an answer up: no target was running the request any more, its deadline had passed, or a target
 * was abandoned on suspicion alone and may still have been running it.
 */
export type GiveUpCause = "target" | "deadline" | "suspicion";

/** Whether the deadline of a request has passed. */
export function isPastDeadline({ timeLeft }: CallerExchange): boolean {
    return timeLeft <= timerSlack;
}

/**
 * Counts and logs that the gateway gave up the answer to a request that may have been executed.
 *
 * @param evidence - Additional log fields.
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
