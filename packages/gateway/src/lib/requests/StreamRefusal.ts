import { requestCodes } from "@waxwingspar/utils";
import { type ChainService } from "../chains/ChainService.js";
import { type CallerExchange } from "./CallerExchange.js";
import { type Closure, restClosure, type SendGate } from "./SendGate.js";
import { refuseWithoutSlot, type SlotUse } from "./SlotUse.js";

/** Options of {@link StreamRefusal}. */
export interface StreamRefusalOptions {
    readonly gate: Pick<SendGate, "findClosure">;
    readonly service: Pick<ChainService, "choose" | "listHeads" | "restLeft">;
    readonly caller: Pick<CallerExchange, "refuse">;
    readonly slots: Pick<SlotUse<unknown>, "refusal">;
}

/** `Retry-After` in milliseconds when no chain has room: some requests end in that time. */
const fullRetryAfter = 400;
/** `Retry-After` in milliseconds when no chain is complete: a lost layer range is reloaded in 1.2 to 1.6 s. */
const noChainRetryAfter = 1_500;
const noExclusions: ReadonlySet<string> = new Set();

/** Refuses a stream that was never executed, with the time until a chain may take it. */
export class StreamRefusal {
    constructor(private readonly options: StreamRefusalOptions) {}

    /** Why no chain can be chosen now. */
    get reason(): string {
        return this.closure?.reason ?? "no chain is left";
    }

    refuse(reason: string): void {
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
