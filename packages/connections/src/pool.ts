/**
 * Pools of connections to servers, apart from the main entry because they load undici.
 *
 * @packageDocumentation
 */
export { createWatchedPool, type WatchedPoolOptions } from "./lib/createWatchedPool.js";
