/**
 * Test helpers for other packages.
 *
 * @packageDocumentation
 */
export { silentLogs } from "./fixtures.js";
export { type LimitedArrival, LimitHistory } from "./LimitHistory.js";
