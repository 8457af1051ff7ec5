import { type Engine } from "../configuration/Configuration.js";
import { type Target } from "../directory/Target.js";

/** What targets have room for, in layers and in requests. */

const bytesPerMegabyte = 1e6;
/**
 * Requests for whose KV cache every target of a chain has room when nothing is lost; no part of a chain with as much room
 * needs relief. Chosen: twice what a chain carries on a usual day.
 */
export const ampleRoom = 96;

/** Memory that the KV cache of a usual request takes for one layer, in megabytes. */
function cacheMemory(engine: Engine): number {
    const tokens = engine.usualPrompt + engine.usualAnswer;
    return tokens * engine.cacheBytesPerToken / engine.layers / bytesPerMegabyte;
}

function memoryOf(engine: Engine, accelerator: string | undefined): number {
    return engine.accelerators.find(({ name }) => name === accelerator)?.memory ?? 0;
}

/** The layers that a target can hold beside the KV cache of so many usual requests. */
export function layerCapacity(engine: Engine, accelerator: string | undefined, concurrency: number): number {
    const memory = memoryOf(engine, accelerator);
    const capacity = Math.floor(memory / (engine.layerMemory + cacheMemory(engine) * concurrency));
    return Math.min(engine.layers, capacity);
}

/** The usual requests whose KV cache a target has room for, when they run on some of the layers that it holds. */
export function requestRoom(engine: Engine, target: Target, runLayers: number): number {
    const held = target.layers === undefined ? 0 : target.layers.end - target.layers.first;
    const free = memoryOf(engine, target.accelerator) - held * engine.layerMemory;
    return Math.max(0, free / (cacheMemory(engine) * runLayers));
}
