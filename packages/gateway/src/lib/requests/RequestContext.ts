import { type Clock } from "@waxwingspar/utils";
import { type SlotGrants } from "../admission/SlotGrants.js";
import { type CrashProtection } from "../crashes/CrashProtection.js";
import { type Target } from "../directory/Target.js";
import { type SendPermits } from "../limits/SendPermits.js";
import { type TargetLimits } from "../limits/TargetLimits.js";
import { type MechanismSwitch } from "../Mechanisms.js";
import { type Observation } from "../observation/Observation.js";
import { type TargetReplies } from "../replies/TargetReplies.js";
import { type TargetRests } from "../rests/TargetRests.js";
import { type ExchangeOptions, type OpenExchange } from "../upstream/Exchange.js";
import { type WireFormat } from "./messages.js";
import { type RequestGuard } from "./RequestGuard.js";
import { type RetryBudget } from "./RetryBudget.js";

/** Dependencies shared by all runs of requests. */
export interface RequestContext {
    readonly clock: Clock;
    readonly wire: WireFormat;
    readonly observation: Observation;
    readonly budget: RetryBudget;
    /** Maximum milliseconds until a connection to a target is established: several round trips and a lost packet. */
    readonly connectTimeout: number;
    readonly crashes: Pick<CrashProtection, "detector" | "guard">;
    /** Receives what targets say about themselves in their replies. */
    readonly replies: Pick<TargetReplies, "record">;
    readonly limits: TargetLimits;
    readonly rests: TargetRests;
    /** Whether a target is still the listed incarnation, as far as is known, and is not leaving. */
    readonly mayReceive: (target: Target) => boolean;
    readonly permits: Pick<SendPermits, "isNeeded" | "mayAcquire" | "acquire" | "retryAfter">;
    /** Grants the slots of targets. */
    readonly slots: Pick<SlotGrants, "acquire" | "tryLocal" | "fullFor" | "expectedWait">;
    /** Sends a request to a target. */
    readonly openExchange: (options: ExchangeOptions) => OpenExchange;
    /** Ends the request when one of its callbacks throws. */
    readonly guard: Pick<RequestGuard, "wrap" | "watch">;
    readonly isOn: MechanismSwitch;
    /** Milliseconds since the list of targets that sends are based on was last confirmed. */
    readonly targetListAge: () => number;
}
