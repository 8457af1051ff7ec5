import { readStateChart } from "@waxwingspar/utils";

/** @internal */
export type HealthState = "joining" | "healthy" | "ejected" | "unreachable" | "probing";

/** @internal */
export type HealthEvent = "ramped" | "fault" | "lost" | "elapsed" | "passed" | "released";

/**
 * The state chart of a target's health, read from targetHealth.json.
 *
 * @internal
 */
export const targetHealthChart = readStateChart<HealthState, HealthEvent>(
    new URL("./targetHealth.json", import.meta.url),
);
