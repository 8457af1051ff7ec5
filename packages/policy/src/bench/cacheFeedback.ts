import { seededRandom } from "@waxwingspar/utils";
import { createRouter } from "../lib/routing/createRouter.js";
import { type RoutedAttempt, type Router, type RoutingTarget } from "../lib/routing/Router.js";
import { CacheTarget } from "./CacheTarget.js";
import { EventClock } from "./EventClock.js";

const targetCount = 8;
const entryCount = 4;
const slots = 32;
const sharedBlocks = 40;
const ownBlocks = 5;
const requestsPerSecond = 30;
const runTime = 90_000;
const warmUp = 20_000;
const pollInterval = 1000;
/** Milliseconds from the first token to the end of a response. */
const answerTime = 1000;

/** @internal */
export interface CacheCase {
    readonly name: string;
    /** Capacity of each target's cache, in blocks. */
    readonly capacity: number;
    /** Number of shared prompt prefixes; the n-th is requested with a frequency proportional to 1/n. */
    readonly prefixes: number;
    /** Milliseconds between the times at which half the targets lose their caches; 0 for never. */
    readonly clearEvery: number;
}

/** The cache feedback that the router receives. @internal */
export interface CacheFeedback {
    readonly name: string;
    /** True when the cached blocks of each response are reported. */
    readonly answers: boolean;
    /** True when load reports include cache figures. */
    readonly reports: boolean;
}

/** @internal */
export interface CacheResult {
    /** The share of shared prompt blocks that were cached. */
    readonly hitShare: number;
    /** Mean time to first token, in milliseconds. */
    readonly firstTokenMean: number;
    /** 95th percentile of the time to first token, in milliseconds. */
    readonly firstTokenP95: number;
    readonly requests: number;
}

/** @internal */
export const cacheCases: readonly CacheCase[] = [
    { name: "caches large enough", capacity: 20_000, prefixes: 64, clearEvery: 0 },
    { name: "half of the caches cleared every 15 s", capacity: 20_000, prefixes: 64, clearEvery: 15_000 },
    { name: "caches of 200 blocks for 64 prompts of 45", capacity: 200, prefixes: 64, clearEvery: 0 },
    { name: "caches of 45 blocks, less than two prompts", capacity: 45, prefixes: 64, clearEvery: 0 },
];

/** @internal */
export const cacheFeedbacks: readonly CacheFeedback[] = [
    { name: "none", answers: false, reports: false },
    { name: "answers", answers: true, reports: false },
    { name: "reports", answers: false, reports: true },
    { name: "both", answers: true, reports: true },
];

/**
 * Runs a case with real routers and simulated targets with prefix caches, on virtual time. The arrivals depend on the
 * seed alone.
 *
 * @internal
 */
export function runCacheFeedback(cacheCase: CacheCase, feedback: CacheFeedback, seed: number): CacheResult {
    const clock = new EventClock();
    const targets = new Map(targetSpecs().map(spec => [spec.name, new CacheTarget(spec, clock, cacheCase.capacity)]));
    const routers = Array.from({ length: entryCount }, (_, index): Router => {
        const place = { entry: `entry-${index}`, dataCentre: "dc", region: "region" };
        const router = createRouter({ clock, random: seededRandom(100 * seed + index), slowStart: 0, ...place });
        router.update(targetSpecs());
        return router;
    });
    const random = seededRandom(seed);
    const draw = zipf(cacheCase.prefixes);
    const firstTokens: number[] = [];
    let hits = 0;
    let count = 0;
    const serve = (router: Router, attempt: RoutedAttempt, target: CacheTarget, prompt: readonly string[]): void => {
        const { cached, delay } = target.prefill(prompt);
        target.running++;
        if (clock.now() >= warmUp) {
            firstTokens.push(delay);
            hits += Math.min(cached, sharedBlocks);
        }
        clock.schedule(() => attempt.firstToken(delay), delay);
        clock.schedule(() => {
            target.running--;
            router.report(target.report(feedback.reports));
            if (feedback.answers) {
                attempt.cached?.(cached);
            }
            attempt.end("completed");
        }, delay + answerTime);
    };
    const arrive = (): void => {
        const router = routers[random.below(entryCount)]!;
        const prompt = promptOf(draw(random.next()), count++);
        const identity = { model: "assistant", version: "v1", layers: 8, activationBytes: 1000 };
        const chosen = router.choose({ ...identity, prefix: prompt, exclude: new Set() });
        if (chosen.isOk) {
            serve(router, chosen.value, targets.get(chosen.value.stages[0]!.target)!, prompt);
        }
        clock.schedule(arrive, -Math.log(1 - random.next()) / requestsPerSecond * 1000);
    };
    arrive();
    const poll = (): void => {
        targets.forEach(target => target.poll(pollInterval));
        clock.schedule(poll, pollInterval);
    };
    poll();
    for (let time = cacheCase.clearEvery; time > 0 && time < runTime; time += cacheCase.clearEvery) {
        clock.schedule(() => [...targets.values()].slice(0, targetCount / 2).forEach(target => target.clear()), time);
    }
    clock.runUntil(runTime);
    firstTokens.sort((a, b) => a - b);
    return {
        hitShare: hits / (firstTokens.length * sharedBlocks),
        firstTokenMean: firstTokens.reduce((sum, time) => sum + time, 0) / firstTokens.length,
        firstTokenP95: firstTokens[Math.floor(firstTokens.length * 0.95)] ?? Infinity,
        requests: firstTokens.length,
    };
}

function targetSpecs(): RoutingTarget[] {
    const place = { host: "127.0.0.1", port: 1, dataCentre: "dc", region: "region" };
    const holds = [{ model: "assistant", version: "v1", first: 0, last: 7 }];
    const power = { speed: 1, bandwidth: 1e9, latency: 0.1, slots };
    return Array.from({ length: targetCount }, (_, index) => ({ name: `target-${index}`, ...place, ...power, holds }));
}

function promptOf(prefix: number, request: number): string[] {
    const shared = Array.from({ length: sharedBlocks }, (_, block) => `${prefix}.${block}`);
    return [...shared, ...Array.from({ length: ownBlocks }, (_, block) => `own.${request}.${block}`)];
}

/** Returns a function that maps a number from 0 to 1 to a Zipf-distributed index below `count`. */
function zipf(count: number): (uniform: number) => number {
    const sums: number[] = [];
    let sum = 0;
    for (let index = 1; index <= count; index++) {
        sum += 1 / index;
        sums.push(sum);
    }
    return uniform => Math.max(0, sums.findIndex(limit => limit > uniform * sum));
}
