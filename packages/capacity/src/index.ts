/**
 * Measures how memory and processor time grow with size, for docs/CAPACITY.md.
 *
 * @packageDocumentation
 */
export { fitLine, type LineFit, type Point } from "./lib/fitLine.js";
export { replaceSection } from "./lib/replaceSection.js";
