/**
 * Ports to the platform's table service, object store, live list and weight store, with HTTP adapters and in-memory
 * implementations.
 *
 * @packageDocumentation
 */
export { Breaker, type BreakerOptions, type BreakerState } from "./lib/client/Breaker.js";
export { canRepeat } from "./lib/client/canRepeat.js";
export { type BackoffBounds, fullJitter } from "./lib/client/fullJitter.js";
export { StoreClient, type StoreClientOptions } from "./lib/client/StoreClient.js";
export { HttpLiveList } from "./lib/http/HttpLiveList.js";
export { HttpObjectStore } from "./lib/http/HttpObjectStore.js";
export { HttpTableStore } from "./lib/http/HttpTableStore.js";
export { HttpWeightStore } from "./lib/http/HttpWeightStore.js";
export { PlatformConnection, type PlatformConnectionOptions } from "./lib/http/PlatformConnection.js";
export { PlatformServer, type PlatformServerOptions } from "./lib/http/PlatformServer.js";
export { type LiveHost, liveHostSchema, type LiveList } from "./lib/LiveList.js";
export { CachedEraStore } from "./lib/memory/CachedEraStore.js";
export { type CallKind, FaultInjector, type FaultSettings, faultSettingsSchema } from "./lib/memory/FaultInjector.js";
export { MemoryLiveList } from "./lib/memory/MemoryLiveList.js";
export { MemoryObjectStore } from "./lib/memory/MemoryObjectStore.js";
export { MemoryTableStore, type MemoryTableStoreOptions } from "./lib/memory/MemoryTableStore.js";
export { MemoryWeightStore, type MemoryWeightStoreOptions } from "./lib/memory/MemoryWeightStore.js";
export { type ObjectStore } from "./lib/ObjectStore.js";
export { type Row, rowSchema, type TableStore, type Transaction, transactionSchema } from "./lib/TableStore.js";
export { TokenBucket, type TokenBucketOptions } from "./lib/TokenBucket.js";
export { type WeightStore } from "./lib/WeightStore.js";
