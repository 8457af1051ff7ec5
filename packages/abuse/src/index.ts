/**
 * Crowds of clients that don't behave, and the processes that must bear them.
 *
 * @packageDocumentation
 */
export { Crowd } from "./lib/Crowd.js";
export { GatewayUnderTest } from "./lib/GatewayUnderTest.js";
export { LocalSiteUnderTest } from "./lib/LocalSiteUnderTest.js";
export { type ClientScript } from "./lib/scripts.js";
