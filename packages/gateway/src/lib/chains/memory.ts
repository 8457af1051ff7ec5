import { type Engine } from "../configuration/Configuration.js";
import { type Target } from "../directory/Target.js";

/** Capacity of targets in layers and in requests. */

const bytesPerMegabyte = 1e6;
/**
 * Number of requests for whose KV cache every target of a chain has room when no target is lost; a target with this
 * much room needs no standby to relieve it. It is twice the load of a chain under normal conditions.
 */
export const ampleRoom = 96;

/** Returns the size of the KV cache of an average request for one layer, in megabytes. */
export function cacheMemory(engine: Engine): number {
    const tokens = engine.usualPrompt + engine.usualAnswer;
    return tokens * engine.cacheBytesPerToken / engine.layers / bytesPerMegabyte;
}

function memoryOf(engine: Engine, accelerator: string | undefined): number {
    return engine.accelerators.find(({ name }) => name === accelerator)?.memory ?? 0;
}

/** Returns the number of layers that a target can hold together with the KV cache of `concurrency` average requests. */
export function layerCapacity(engine: Engine, accelerator: string | undefined, concurrency: number): number {
    const memory = memoryOf(engine, accelerator);
    const capacity = Math.floor(memory / (engine.layerMemory + cacheMemory(engine) * concurrency));
    return Math.min(engine.layers, capacity);
}

/**
 * Returns the number of average requests whose KV cache fits into a target, when it runs `runLayers` layers for each.
 */
export function requestRoom(engine: Engine, target: Target, runLayers: number): number {
    return Math.max(0, freeMemory(engine, target) / (cacheMemory(engine) * runLayers));
}

/** Returns the memory of a target beside the layers that it holds, in megabytes; negative when they exceed it. */
export function freeMemory(engine: Engine, target: Target): number {
    const held = target.layers === undefined ? 0 : target.layers.end - target.layers.first;
    return memoryOf(engine, target.accelerator) - held * engine.layerMemory;
}
