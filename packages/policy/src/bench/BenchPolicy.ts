import { type Clock, type Random } from "@waxwingspar/utils";
import { createWorkQueue } from "../lib/admission/createWorkQueue.js";
import { type WorkQueue } from "../lib/admission/WorkQueue.js";
import { type WorkQueueOptions } from "../lib/admission/WorkQueueOptions.js";
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
}

/** Options under test, for sweeps. */
export interface PolicyOverrides {
    readonly router?: Partial<RouterOptions>;
    readonly queue?: Partial<WorkQueueOptions>;
}

const fairQueue = (clock: Clock, slots: number) => createWorkQueue({ clock, slots });

/** The project's own router and admission. @internal */
export function ownPolicy(overrides: PolicyOverrides = {}): BenchPolicy {
    return {
        name: "waxwingspar",
        createRouter: place => createRouter({ ...place, region: fleet.region, ...overrides.router }),
        createQueue: (clock, slots) => createWorkQueue({ clock, slots, ...overrides.queue }),
    };
}

/** Routers to compare with, all before the project's own admission. @internal */
export const baselinePolicies: readonly BenchPolicy[] = [
    { name: "random", createRouter: place => createRandomRouter(place.random), createQueue: fairQueue },
    { name: "round robin", createRouter: place => createRoundRobinRouter(place.random), createQueue: fairQueue },
    { name: "least loaded", createRouter: place => createLeastLoadedRouter(place.random), createQueue: fairQueue },
];

/** The project's own router before an admission to compare with. @internal */
export const fifoPolicy: BenchPolicy = {
    ...ownPolicy(),
    name: "waxwingspar, FIFO queue",
    createQueue: (_, slots) => new FifoQueue(slots),
};
