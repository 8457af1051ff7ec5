import { createLogger, MetricRegistry } from "@waxwingspar/telemetry";
import { type Clock } from "@waxwingspar/utils";
import { type EngineReport } from "../chains/EngineControl.js";
import { type Engine } from "../configuration/Configuration.js";
import { type LayerRange, type Target } from "../directory/Target.js";
import { GatewayMetrics, type Logs, type Observation } from "../observation/Observation.js";
import { type TargetRests } from "../rests/TargetRests.js";

/** An engine for tests, with 80 layers and three kinds of accelerators. */
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

/** Creates a target of the service "model". */
export function testTarget(id: string, accelerator: string, layers?: LayerRange, dataCentre = "x"): Target {
    const port = 1_000 + Number(id.replaceAll(/\D/g, "") || 0);
    return { id, service: "model", host: "127.0.0.1", port, dataCentre, state: "ready", accelerator, layers };
}

/** The report of a healthy target. */
export const healthyReport: EngineReport = {
    isBusy: false,
    orders: 1,
    layers: { first: 0, end: 40 },
    cacheUse: 0.2,
    waiting: 0,
    slowdown: 1,
    stalledBy: [],
};

/** Loggers of all modules that discard everything. */
export function silentLogs(): Logs {
    const logger = createLogger({ level: "silent" });
    return {
        requests: logger,
        configuration: logger,
        directory: logger,
        chains: logger,
        limits: logger,
        targets: logger,
        duty: logger,
        peers: logger,
        process: logger,
    };
}

/** An observation that logs nothing, with a registry of its own. */
export function silentObservation(clock: Clock): Observation {
    return { logs: silentLogs(), metrics: new GatewayMetrics(new MetricRegistry(clock)) };
}

/** The rests of targets that never ask for one. */
export const noRests: Pick<TargetRests, "timeLeft" | "fingerprint"> = { timeLeft: () => 0, fingerprint: "" };
