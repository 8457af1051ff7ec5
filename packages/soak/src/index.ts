/**
 * Runs real gateway processes under overlapping faults and checks what callers and targets see.
 *
 * @packageDocumentation
 */
export { runSoak, type SoakOptions, type SoakResult } from "./lib/runSoak.js";
