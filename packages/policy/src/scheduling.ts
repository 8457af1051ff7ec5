/**
 * The fair queue alone. The index of this package also loads the libraries of routing, which a process that only queues
 * does not need when it starts.
 *
 * @packageDocumentation
 */
export { type FairAccount, type FairItem, FairScheduler } from "./lib/admission/FairScheduler.js";
export { IndexedHeap } from "./lib/support/IndexedHeap.js";
