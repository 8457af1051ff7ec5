/**
 * The engine port, its HTTP adapter and a deterministic fake engine.
 *
 * @packageDocumentation
 */
export {
    type CacheEvent,
    cacheEventSchema,
    type Engine,
    type EngineInfo,
    engineInfoSchema,
    type EngineLoad,
    engineLoadSchema,
    type HeldLayers,
    heldLayersSchema,
    type Order,
    orderSchema,
    type Session,
    sessionSchema,
    type Step,
    type StepResult,
    stepResultSchema,
    stepSchema,
} from "./lib/Engine.js";
export { EngineServer, type EngineServerOptions } from "./lib/EngineServer.js";
export { blockHashes } from "./lib/fake/blockHashes.js";
export { blockTokens } from "./lib/fake/PrefixCache.js";
export { type InitialLayers } from "./lib/fake/WeightMemory.js";
export { FakeEngine, type FakeEngineOptions } from "./lib/FakeEngine.js";
export { HttpEngine, type HttpEngineOptions } from "./lib/HttpEngine.js";
export { activationBytes } from "./lib/model/LayerStack.js";
export { type ReferenceAnswer, referenceAnswer, type ReferenceOptions } from "./lib/model/referenceAnswer.js";
export { endToken, tokenizeText, tokenText, vocabularySize } from "./lib/model/vocabulary.js";
