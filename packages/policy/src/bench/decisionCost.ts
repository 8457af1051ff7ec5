import { ManualClock, seededRandom } from "@waxwingspar/utils";
import { build, type Histogram } from "hdr-histogram-js";
import { createWorkQueue } from "../lib/admission/createWorkQueue.js";
import { createRouter } from "../lib/routing/createRouter.js";
import { type RoutingTarget } from "../lib/routing/Router.js";

/** Size of the largest fleet to support, with one target per stage of each replica. */
const targetCount = 6700;
const models = 5;
const stages = 4;
const layers = 80;
const dataCentres = 18;
const regions = 5;
const blocks = 32;
const warmUpRounds = 20_000;
const rounds = 100_000;
const nanosecondsPerMillisecond = 1_000_000;

/** Number of organisations that share the measured queue. */
const organisations = 830;
const queueSlots = 246;

/** The cost of routing and admission decisions, in real time. */
export interface DecisionCost {
    readonly targets: number;
    /** Milliseconds to apply a configuration of the whole fleet. */
    readonly update: number;
    /** Microseconds to choose a chain and to process the first token and the end of the attempt; median. */
    readonly chooseMedian: number;
    /** The 99th percentile of the same. */
    readonly choose99: number;
    /** Heap usage of the router after the run, in bytes. */
    readonly heap: number;
    /** Microseconds to add an item to a queue with {@link DecisionCost.waiting} others and to finish one; median. */
    readonly queueMedian: number;
    /** The 99th percentile of the same. */
    readonly queue99: number;
    /** Number of items in the queue during the measurement. */
    readonly waiting: number;
}

/** Measures the router with the whole fleet, and a full queue. @internal */
export function measureDecisionCost(seed: number): DecisionCost {
    return { ...measureRouter(seed), ...measureQueue() };
}

function measureQueue(): Pick<DecisionCost, "queueMedian" | "queue99" | "waiting"> {
    const clock = new ManualClock();
    const queue = createWorkQueue({ clock, slots: queueSlots });
    const running: string[] = [];
    const offer = (id: number) =>
        queue.offer({
            id: String(id),
            organisation: `organisation-${id % organisations}`,
            priority: 5,
            timeLeft: Infinity,
            startBound: Infinity,
            cost: 100,
            start: () => running.push(String(id)),
            refuse: () => undefined,
        });
    let id = 0;
    while (offer(id++).isOk && queue.queued < 255) {
        // Fills all slots, and the queue except for one place.
    }
    const waiting = queue.queued;
    const histogram = build();
    for (let round = 0; round < warmUpRounds + rounds; round++) {
        const start = performance.now();
        offer(id++);
        queue.finish(running.shift()!, 1000);
        record(histogram, performance.now() - start, round);
    }
    return { queueMedian: microseconds(histogram, 50), queue99: microseconds(histogram, 99), waiting };
}

function record(histogram: Histogram, spent: number, round: number): void {
    if (round >= warmUpRounds) {
        histogram.recordValue(Math.round(spent * nanosecondsPerMillisecond));
    }
}

function microseconds(histogram: Histogram, percentile: number): number {
    return histogram.getValueAtPercentile(percentile) / 1000;
}

function measureRouter(seed: number): Omit<DecisionCost, "queueMedian" | "queue99" | "waiting"> {
    const heapBefore = process.memoryUsage().heapUsed;
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
        record(histogram, performance.now() - start, round);
        clock.advance(1);
    }
    return {
        targets: targetCount,
        update,
        chooseMedian: microseconds(histogram, 50),
        choose99: microseconds(histogram, 99),
        heap: process.memoryUsage().heapUsed - heapBefore,
    };
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
