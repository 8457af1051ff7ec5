import { type Engine } from "../configuration/Configuration.js";
import { type LayerRange, type Target } from "../directory/Target.js";

/** An engine for tests: 80 layers, on three kinds of accelerators. */
export const testEngine: Engine = {
    model: "m",
    layers: 80,
    layerMemory: 1_750,
    cacheBytesPerToken: 845_373,
    loadTime: 14_000,
    parallelLoads: 6,
    usualPrompt: 772,
    usualAnswer: 167,
    slots: 134,
    stepTime: 0.85,
    accelerators: [
        { name: "large", memory: 72_000, stepFactor: 1.4, prefillFactor: 1 },
        { name: "middle", memory: 36_000, stepFactor: 3.1, prefillFactor: 3.2 },
        { name: "small", memory: 21_600, stepFactor: 16, prefillFactor: 8.2 },
    ],
};

/** Creates a target of a service "model". */
export function testTarget(id: string, accelerator: string, layers?: LayerRange, dataCentre = "x"): Target {
    const port = 1_000 + Number(id.replaceAll(/\D/g, "") || 0);
    return { id, service: "model", host: "127.0.0.1", port, dataCentre, state: "ready", accelerator, layers };
}
