/**
 * What tests of other packages share.
 *
 * @packageDocumentation
 */
export { silentLogs } from "./fixtures.js";
