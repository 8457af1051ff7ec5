/**
 * Servers that count what their clients send and leave unread, and bound it.
 *
 * @packageDocumentation
 */
export { afterInput } from "./lib/afterInput.js";
export { createSideServer, type SideServerOptions } from "./lib/createSideServer.js";
export { findHeadFault, type ReplyHeadMessage } from "./lib/findHeadFault.js";
export { type UnansweredInput } from "./lib/GuardedConnection.js";
export { GuardedServer, type GuardedServerOptions, type GuardReason, type GuardRefusal } from "./lib/GuardedServer.js";
export { type GuardCounts, GuardRecord, type GuardRecordOptions } from "./lib/GuardRecord.js";
export { Holding, type HoldingOptions, MemoryBudget, type MemoryBudgetOptions } from "./lib/MemoryBudget.js";
export { type ClientLimits, clientLimits, type ProcessLimits } from "./lib/processLimits.js";
export { type BodyOptions, readBody } from "./lib/readBody.js";
export { ReplyFraming, type ReplyFramingOptions } from "./lib/ReplyFraming.js";
export { ReplyWatch, type ReplyWatchOptions } from "./lib/ReplyWatch.js";
export { flushTime, ServerStop, type ServerStopOptions, type StopLimit } from "./lib/ServerStop.js";
