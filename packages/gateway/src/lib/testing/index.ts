/**
 * Test helpers for other packages.
 *
 * @packageDocumentation
 */
export { silentLogs } from "./fixtures.js";
