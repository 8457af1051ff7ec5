import { type Clock, type Random } from "@waxwingspar/utils";
import { type RequestResult } from "../callers/Callers.js";
import { type ScenarioCheck } from "../report/ScenarioResult.js";
import { type Site } from "../site/Site.js";

/** The site, clock and callbacks that a scenario uses while the callers send requests. @internal */
export interface ScenarioContext {
    readonly site: Site;
    readonly clock: Clock;
    readonly random: Random;
    /** The requests that have ended so far. */
    readonly results: () => readonly RequestResult[];
    /** Records the current time as that of the first fault, from which recovery is measured. */
    readonly markFault: () => void;
    /** Adds an assertion to those of the history. */
    readonly check: (check: ScenarioCheck) => void;
}

/** A run with injected faults. @internal */
export interface Scenario {
    readonly name: string;
    /** The title of its row in the failure table of docs/FAILURES.md. */
    readonly row: string;
    /** The faults that are injected, for the report. */
    readonly summary: string;
    /** Injects the faults. The callers send until it resolves, and at least for the duration of the run. */
    readonly run: (context: ScenarioContext) => Promise<void>;
    /** Whether the scenario is valid only if orders with a stale fencing token were sent and rejected. */
    readonly expectsStaleOrders?: boolean;
}
