import { requestCodes } from "@waxwingspar/utils";
import { type ChainService } from "../chains/ChainService.js";
import { type CallerExchange } from "./CallerExchange.js";
import { type DeliveredEvents } from "./DeliveredEvents.js";
import { isPastDeadline, noteGivenUp } from "./noteGivenUp.js";
import { type RequestContext } from "./RequestContext.js";
import { type Closure, restClosure, type SendGate } from "./SendGate.js";
import { refuseWithoutSlot, type SlotUse } from "./SlotUse.js";

/** Options of {@link StreamRefusal}. */
export interface StreamRefusalOptions {
    readonly gate: Pick<SendGate, "findClosure">;
    readonly service: Pick<ChainService, "choose" | "listHeads" | "restLeft">;
    readonly caller: CallerExchange;
    readonly slots: Pick<SlotUse<unknown>, "refusal">;
    readonly context: RequestContext;
    readonly delivered: Pick<DeliveredEvents, "count" | "silence">;
}

/** What is known of a stream that is given up. */
export interface UnservedStream {
    /** Whether a target may have begun to run it. */
    readonly mayRun: boolean;
    /** Whether a run was in flight when it was given up. */
    readonly isRunning: boolean;
}

/** `Retry-After` in milliseconds when no chain has room: some requests end in that time. */
const fullRetryAfter = 400;
/** `Retry-After` in milliseconds when no chain is complete: a lost layer range is reloaded in 1.2 to 1.6 s. */
const noChainRetryAfter = 1_500;
const noExclusions: ReadonlySet<string> = new Set();

/**
 * Ends a stream that cannot be served. One that was never executed is refused, with the time until a chain may take it;
 * the outcome of any other is unknown.
 */
export class StreamRefusal {
    constructor(private readonly options: StreamRefusalOptions) {}

    /** Why no chain can be chosen now. */
    get reason(): string {
        return this.closure?.reason ?? "no chain is left";
    }

    endUnserved(reason: string, { mayRun, isRunning }: UnservedStream): void {
        if (!mayRun) {
            this.refuse(reason);
            return;
        }
        const { context, caller, delivered: { count: events, silence } } = this.options;
        const isLate = isPastDeadline(caller);
        const cause = isLate ? "deadline" : isRunning ? "suspicion" : "target";
        noteGivenUp(context, caller, cause, { reason, events, silence: Math.round(silence) });
        caller.refuse(isLate ? requestCodes.deadlineExceeded : requestCodes.outcomeUnknown, reason);
    }

    private refuse(reason: string): void {
        const { closure, options: { service, caller, slots } } = this;
        if (slots.refusal !== undefined) {
            refuseWithoutSlot(caller, slots.refusal);
            return;
        }
        if (closure !== undefined) {
            caller.refuse(closure.code, reason, closure.wait, closure.isBinding);
            return;
        }
        const retryAfter = service.choose(noExclusions) === undefined ? noChainRetryAfter : fullRetryAfter;
        caller.refuse(requestCodes.noCapacity, reason, retryAfter);
    }

    /** Why no chain takes a request now by what its targets said; undefined if that does not prevent a send. */
    private get closure(): Closure | undefined {
        const { gate, service } = this.options;
        const { restLeft } = service;
        return gate.findClosure(service.listHeads()) ?? (restLeft === undefined ? undefined : restClosure(restLeft));
    }
}
