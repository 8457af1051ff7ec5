import { ManualClock, seededRandom } from "@waxwingspar/utils";
import { build } from "hdr-histogram-js";
import { createRouter } from "../lib/routing/createRouter.js";
import { type RoutingTarget } from "../lib/routing/Router.js";

/** The fleet to design for, with a target for each replica's stage. */
const targetCount = 6700;
const models = 5;
const stages = 4;
const layers = 80;
const dataCentres = 18;
const regions = 5;
const blocks = 32;
const warmUpRounds = 20_000;
const rounds = 100_000;
const nanoseconds = 1_000_000;

/** The cost of the router itself, in real time. */
export interface RouterCost {
    readonly targets: number;
    /** Milliseconds to take in a configuration of the whole fleet. */
    readonly update: number;
    /** Microseconds of one choice, its first token and its end. */
    readonly chooseMedian: number;
    readonly choose99: number;
}

/** Measures the router before a fleet of {@link RouterCost.targets} targets. @internal */
export function measureRouterCost(seed: number): RouterCost {
    const clock = new ManualClock();
    const random = seededRandom(seed);
    const place = { entry: "entry-1", dataCentre: "dc-0", region: "region-0" };
    const router = createRouter({ clock, random, ...place });
    const targets = Array.from({ length: targetCount }, (_, index) => fleetTarget(index));
    const updateStart = performance.now();
    router.update(targets);
    const update = performance.now() - updateStart;
    const histogram = build();
    for (let round = 0; round < warmUpRounds + rounds; round++) {
        const topic = random.below(1000);
        const request = {
            model: `model-${round % models}`,
            version: "v1",
            layers,
            activationBytes: 16_384,
            prefix: Array.from({ length: blocks }, (_, block) => `${topic}.${block}`),
            exclude: new Set<string>(),
        };
        const start = performance.now();
        const chosen = router.choose(request);
        if (chosen.isOk) {
            chosen.value.firstToken(100);
            chosen.value.end("completed");
        }
        const spent = performance.now() - start;
        if (round >= warmUpRounds) {
            histogram.recordValue(Math.round(spent * nanoseconds));
        }
        clock.advance(1);
    }
    const microseconds = (percentile: number) => histogram.getValueAtPercentile(percentile) / 1000;
    return { targets: targetCount, update, chooseMedian: microseconds(50), choose99: microseconds(99) };
}

function fleetTarget(index: number): RoutingTarget {
    const dataCentre = index % dataCentres;
    const stage = Math.floor(index / dataCentres) % stages;
    const model = Math.floor(index / dataCentres / stages) % models;
    const first = stage * layers / stages;
    return {
        name: `target-${index}`,
        host: "127.0.0.1",
        port: 1,
        dataCentre: `dc-${dataCentre}`,
        region: `region-${dataCentre % regions}`,
        speed: 1 + index % 4,
        bandwidth: 1_250_000_000,
        latency: 0.3,
        slots: 246,
        holds: [{ model: `model-${model}`, version: "v1", first, last: first + layers / stages - 1 }],
    };
}
