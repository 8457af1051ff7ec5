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

/** Where an entry runs. */
export interface EntryPlace {
    readonly clock: Clock;
    readonly random: Random;
    readonly entry: string;
    readonly dataCentre: string;
}

/** A pair of router and admission to be measured. */
export interface BenchPolicy {
    readonly name: string;
    createRouter(place: EntryPlace): Router;
    createQueue(clock: Clock, slots: number): WorkQueue;
    createBudget(clock: Clock, random: Random): RetryBudget;
}

/** Options under test, for sweeps. */
export interface PolicyOverrides {
    readonly router?: Partial<RouterOptions>;
    readonly queue?: Partial<WorkQueueOptions>;
    readonly budget?: Partial<RetryBudgetOptions>;
}

/** The project's own router and admission. @internal */
export function ownPolicy(overrides: PolicyOverrides = {}): BenchPolicy {
    return {
        name: "waxwingspar",
        createRouter: place => createRouter({ ...place, region: fleet.region, ...overrides.router }),
        createQueue: (clock, slots) => createWorkQueue({ clock, slots, ...overrides.queue }),
        createBudget: (clock, random) => createRetryBudget({ clock, random, ...overrides.budget }),
    };
}

/** A router to compare with, before the project's own admission and retry budget. */
function baseline(name: string, create: (random: Random) => Router): BenchPolicy {
    return { ...ownPolicy(), name, createRouter: place => create(place.random) };
}

/** @internal */
export const baselinePolicies: readonly BenchPolicy[] = [
    baseline("random", createRandomRouter),
    baseline("round robin", createRoundRobinRouter),
    baseline("least loaded", createLeastLoadedRouter),
];

/** A policy before the admission to compare with. */
function withFifoQueue(policy: BenchPolicy): BenchPolicy {
    return { ...policy, name: `${policy.name}, FIFO queue`, createQueue: (_, slots) => new FifoQueue(slots) };
}

/** Every router before a plain queue, to compare admission with. @internal */
export const fifoPolicies: readonly BenchPolicy[] = [ownPolicy(), ...baselinePolicies].map(withFifoQueue);
