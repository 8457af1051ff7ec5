/**
 * Scenarios that run real processes under injected faults and check their recorded histories.
 *
 * @packageDocumentation
 */
export { type ScenarioResult } from "./lib/report/ScenarioResult.js";
export { type RunOptions, runScenario } from "./lib/runScenario.js";
export { findScenario, scenarios } from "./lib/scenarios/scenarios.js";
export { findPorts } from "./lib/site/ports.js";
export { SiteProcess, type SiteProcessOptions } from "./lib/site/SiteProcess.js";
