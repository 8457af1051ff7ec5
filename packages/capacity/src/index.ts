/**
 * Slopes of memory and processor time behind docs/CAPACITY.md.
 *
 * @packageDocumentation
 */
export { fitSlope, type Point, type Slope } from "./lib/fitSlope.js";
export { replaceSection } from "./lib/replaceSection.js";
