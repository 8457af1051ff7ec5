/**
 * Ports to the platform's table service, object store, live list and weight store, with adapters and stand-ins.
 *
 * @packageDocumentation
 */
export { type LiveHost, liveHostSchema, type LiveList } from "./lib/LiveList.js";
export { type ObjectStore } from "./lib/ObjectStore.js";
export { type Row, rowSchema, type TableStore, type Transaction, transactionSchema } from "./lib/TableStore.js";
export { type WeightStore } from "./lib/WeightStore.js";
