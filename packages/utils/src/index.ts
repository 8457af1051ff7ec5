/**
 * Shared building blocks: clock, random source, result codes, assertions.
 *
 * @packageDocumentation
 */
export { assert, assertNever } from "./lib/assert.js";
export { ByteAccumulator } from "./lib/ByteAccumulator.js";
export { type Clock, sleep, type Timer } from "./lib/Clock.js";
export { type Failure, failure, type Outcome } from "./lib/Failure.js";
export { uniqueId } from "./lib/ids.js";
export { LoopWatch } from "./lib/LoopWatch.js";
export { ManualClock } from "./lib/ManualClock.js";
export { type Random, seededRandom } from "./lib/Random.js";
export { platformCodes } from "./lib/resultCodes/platformCodes.js";
export { requestCodes } from "./lib/resultCodes/requestCodes.js";
export { resourceCodes } from "./lib/resultCodes/resourceCodes.js";
export { type Execution, type ResultCode } from "./lib/resultCodes/ResultCode.js";
export { findResultCode, resultCodes } from "./lib/resultCodes/resultCodes.js";
export { transportCodes } from "./lib/resultCodes/transportCodes.js";
export { StallingClock } from "./lib/StallingClock.js";
export { type ChartDefinition, readStateChart, StateChart } from "./lib/StateChart.js";
export { SystemClock } from "./lib/SystemClock.js";
