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
