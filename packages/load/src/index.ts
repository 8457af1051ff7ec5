/**
 * An open-loop load generator for a running site: plans calls, sends them and reports the latencies.
 *
 * @packageDocumentation
 */
export { type LoadCaller, type LoadSettings, type PlannedCall } from "./lib/plan/LoadSettings.js";
export { planCalls } from "./lib/plan/planCalls.js";
export { formatMarkdown } from "./lib/report/formatMarkdown.js";
export { type LatencySummary, type LoadBounds, type LoadSummary, summarize } from "./lib/report/LoadSummary.js";
export { plotLatencies } from "./lib/report/plotLatencies.js";
export { type CallEnd } from "./lib/run/CallEnd.js";
export { HttpCaller } from "./lib/run/HttpCaller.js";
export { type LoadRecord, runLoad, type RunLoadOptions } from "./lib/run/runLoad.js";
