/**
 * Concurrent runs of real processes under faults, with checked histories.
 *
 * @packageDocumentation
 */
export { type ScenarioResult } from "./lib/report/ScenarioResult.js";
export { type RunOptions, runScenario } from "./lib/runScenario.js";
export { findScenario, scenarios } from "./lib/scenarios/scenarios.js";
