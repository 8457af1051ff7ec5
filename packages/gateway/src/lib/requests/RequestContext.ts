import { type Clock } from "@waxwingspar/utils";
import { type CrashParts } from "../crashes/CrashParts.js";
import { type MechanismSwitch } from "../Mechanisms.js";
import { type Observation } from "../observation/Observation.js";
import { type ExchangeOptions, type OpenExchange } from "../upstream/Exchange.js";
import { type WireFormat } from "./messages.js";
import { type RepeatBudget } from "./RepeatBudget.js";

/** What every run of a request needs. */
export interface RequestContext {
    readonly clock: Clock;
    readonly wire: WireFormat;
    readonly observation: Observation;
    readonly budget: RepeatBudget;
    /** Milliseconds for a connection to a target to open: several round trips between data centres and a lost packet. */
    readonly connectTimeout: number;
    readonly crashes: Pick<CrashParts, "watch" | "guard">;
    /** Sends a request to a target. */
    readonly openExchange: (options: ExchangeOptions) => OpenExchange;
    readonly isOn: MechanismSwitch;
    /** Milliseconds since the list of targets, which sends are decided by, was last confirmed. */
    readonly targetListAge: () => number;
}
