import { type TimedChain, type TimedEngine } from "../chains/chainTimes.js";
import { testEngine } from "./fixtures.js";

/** An engine with times, like that of the measured chains. The prefill factors of "a10" and "l4" are assumed. */
export const timedTestEngine: TimedEngine = {
    ...testEngine,
    cacheBytesPerToken: 469_970,
    usualPrompt: 775,
    usualAnswer: 218,
    stepTime: 1.02,
    accelerators: [
        { name: "a100", memory: 72_000, stepFactor: 2.4, prefillFactor: 3.2 },
        { name: "a10", memory: 36_000, stepFactor: 5.3, prefillFactor: 4.3 },
        { name: "l4", memory: 21_600, stepFactor: 16, prefillFactor: 8.2 },
    ],
    activationBytes: 23_498,
    crossingBandwidth: 3_760,
    stepsPerPass: 5,
    requestStepTime: 0.0036537,
    contextStepTime: 0.0049003,
    prefillRate: 294_000,
    prefillPairTime: 0.111,
    prefillChunk: 512,
    delays: [{ from: "x", to: "y", delay: 0.3 }],
};

/**
 * Creates a chain whose hops all run the same mix of layers, as far as their times depend on it.
 *
 * @param layers - Number of layers by accelerator.
 */
export function timedChain(hopCount: number, layers: Readonly<Record<string, number>>): TimedChain {
    const mean = (factor: "stepFactor" | "prefillFactor") =>
        timedTestEngine.accelerators.reduce((sum, kind) => sum + kind[factor] * (layers[kind.name] ?? 0), 0)
        / timedTestEngine.layers;
    const hop = { stepFactor: mean("stepFactor"), prefillFactor: mean("prefillFactor"), share: 1 / hopCount };
    return { hops: Array.from({ length: hopCount }, () => hop), crossings: 0, crossingDelay: 0, room: 134 };
}
