/**
 * The entry: the HTTP interface for callers, with routing, retries and resumption of streams.
 *
 * @packageDocumentation
 */
export { Entry, type EntryOptions } from "./lib/Entry.js";
export { type EntryLimits, entryLimitsSchema } from "./lib/EntryLimits.js";
export { type EntryMetrics } from "./lib/EntryMetrics.js";
export { type ErrorBody } from "./lib/http/errorBody.js";
export { type FindFinalOutcome } from "./lib/links/ClaimBinding.js";
