import { createRequire } from "node:module";
import { type ChartDefinition } from "../support/StateChart.js";

/** @internal */
export type HealthState = "joining" | "healthy" | "ejected" | "unreachable" | "probing";

/** @internal */
export type HealthEvent = "ramped" | "fault" | "lost" | "elapsed" | "passed" | "released";

/**
 * The states of a target's health, read from targetHealth.json.
 *
 * @internal
 */
export const targetHealthChart = createRequire(import.meta.url)("./targetHealth.json") as ChartDefinition<
    HealthState,
    HealthEvent
>;
