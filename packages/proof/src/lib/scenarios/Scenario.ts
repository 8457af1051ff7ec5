import { type Clock, type Random } from "@waxwingspar/utils";
import { type RequestResult } from "../callers/Callers.js";
import { type ScenarioCheck } from "../report/ScenarioResult.js";
import { type Site } from "../site/Site.js";

/** What a scenario works with while the callers send. @internal */
export interface ScenarioContext {
    readonly site: Site;
    readonly clock: Clock;
    readonly random: Random;
    /** The requests that have ended so far. */
    readonly results: () => readonly RequestResult[];
    /** Notes the moment of the first fault, from which recovery is measured. */
    readonly markFault: () => void;
    /** Asserts something beside the history. */
    readonly check: (check: ScenarioCheck) => void;
}

/** A run with faults. @internal */
export interface Scenario {
    readonly name: string;
    /** The row of the failure table in docs/FAILURES.md. */
    readonly row: string;
    /** What is done, for the report. */
    readonly summary: string;
    /** Brings the faults about; the callers send until it resolves, and for the whole duration at least. */
    readonly run: (context: ScenarioContext) => Promise<void>;
    /** True when orders with an old fence must have been sent, as the scenario shows nothing otherwise. */
    readonly expectsStaleOrders?: boolean;
}
