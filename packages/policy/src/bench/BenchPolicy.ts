import { type Clock, type Random } from "@waxwingspar/utils";
import { createWorkQueue } from "../lib/admission/createWorkQueue.js";
import { type WorkQueue } from "../lib/admission/WorkQueue.js";
import { type WorkQueueOptions } from "../lib/admission/WorkQueueOptions.js";
import { createRetryBudget, type RetryBudgetOptions } from "../lib/retry/createRetryBudget.js";
import { type RetryBudget } from "../lib/retry/RetryBudget.js";
import { createRouter } from "../lib/routing/createRouter.js";
import { type Router } from "../lib/routing/Router.js";
import { type RouterOptions } from "../lib/routing/RouterOptions.js";
import { createLeastLoadedRouter, createRandomRouter, createRoundRobinRouter } from "./baselineRouters.js";
import { FifoQueue } from "./FifoQueue.js";
import { fleet } from "./fleet.js";

/** The environment of an entry. */
export interface EntryContext {
    readonly clock: Clock;
    readonly random: Random;
    readonly entry: string;
    readonly dataCentre: string;
}

/** A combination of router, admission queue and retry budget to be measured. */
export interface BenchPolicy {
    readonly name: string;
    createRouter(place: EntryContext): Router;
    createQueue(clock: Clock, slots: number): WorkQueue;
    createBudget(clock: Clock, random: Random): RetryBudget;
}

/** Option values under test, for sweeps. */
export interface PolicyOverrides {
    readonly router?: Partial<RouterOptions>;
    readonly queue?: Partial<WorkQueueOptions>;
    readonly budget?: Partial<RetryBudgetOptions>;
}

/** The project's own router, queue and retry budget. @internal */
export function ownPolicy(overrides: PolicyOverrides = {}): BenchPolicy {
    return {
        name: "waxwingspar",
        createRouter: place => createRouter({ ...place, region: fleet.region, ...overrides.router }),
        createQueue: (clock, slots) => createWorkQueue({ clock, slots, ...overrides.queue }),
        createBudget: (clock, random) => createRetryBudget({ clock, random, ...overrides.budget }),
    };
}

/** A baseline router, combined with the project's own queue and retry budget. */
function baseline(name: string, create: (random: Random) => Router): BenchPolicy {
    return { ...ownPolicy(), name, createRouter: place => create(place.random) };
}

/** @internal */
export const baselinePolicies: readonly BenchPolicy[] = [
    baseline("random", createRandomRouter),
    baseline("round robin", createRoundRobinRouter),
    baseline("least loaded", createLeastLoadedRouter),
];

/** Returns a policy with its queue replaced by a FIFO queue. */
function withFifoQueue(policy: BenchPolicy): BenchPolicy {
    return { ...policy, name: `${policy.name}, FIFO queue`, createQueue: (_, slots) => new FifoQueue(slots) };
}

/** All routers, combined with a FIFO queue as the admission baseline. @internal */
export const fifoPolicies: readonly BenchPolicy[] = [ownPolicy(), ...baselinePolicies].map(withFifoQueue);
