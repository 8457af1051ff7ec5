import { type Clock, type Random } from "@waxwingspar/utils";
import { type ScenarioCheck } from "../report/ScenarioResult.js";
import { type Site } from "../site/Site.js";

/** What a scenario works with while the callers send. @internal */
export interface ScenarioContext {
    readonly site: Site;
    readonly clock: Clock;
    readonly random: Random;
    /** Milliseconds for the whole scenario, from the first fault on. */
    readonly duration: number;
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
    /** True when goodput cannot come back within the run, as when capacity is lost for good. */
    readonly lasting?: boolean;
}
