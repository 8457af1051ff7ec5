import { Membership, nextEntry, RevisionState, specSchemas } from "@waxwingspar/config";
import { createRouter, createWorkQueue, type Router, type RoutingTarget } from "@waxwingspar/policy";
import { type LiveHost } from "@waxwingspar/stores";
import { assert, ManualClock, seededRandom } from "@waxwingspar/utils";
import { measureRetainedBytes, measureTimePerRun } from "./memory.js";

/**
 * One quantity that is measured at several sizes.
 *
 * @internal
 */
export interface Measurement {
    readonly role: string;
    readonly mechanism: string;
    /** What is measured, with its unit. */
    readonly quantity: string;
    /** The unit of the size, such as a target or a request. */
    readonly per: string;
    readonly sizes: readonly number[];
    /** The size in the fleet that docs/CAPACITY.md plans for. */
    readonly fleetSize: number;
    readonly measure: (size: number) => number;
}

const layers = 80;
const stagesPerChain = 8;
const layersPerStage = layers / stagesPerChain;
const dataCentres = 18;
const organisations = 830;
const layerRangeTargets = [837, 1675, 3350, 6700];
const processCounts = [1000, 2000, 4000, 8500];

/** @internal */
export const measurements: readonly Measurement[] = [
    {
        role: "entry",
        mechanism: "router: targets known",
        quantity: "memory, KiB",
        per: "target",
        sizes: layerRangeTargets,
        fleetSize: 6700,
        measure: size => toKibibytes(measureRetainedBytes(() => createFilledRouter(size))),
    },
    {
        role: "entry",
        mechanism: "router: choose a chain of one target",
        quantity: "processor time, µs",
        per: "target",
        sizes: layerRangeTargets,
        fleetSize: 6700,
        measure: size => measureChooseTime(createFilledRouter(size), 1),
    },
    {
        role: "entry",
        mechanism: "router: choose a chain of eight targets",
        quantity: "processor time, µs",
        per: "target",
        sizes: layerRangeTargets.map(size => size * stagesPerChain),
        fleetSize: 53_600,
        measure: size => measureChooseTime(createFilledRouter(size, stagesPerChain), stagesPerChain),
    },
    {
        role: "agent",
        mechanism: "work queue: requests held",
        quantity: "memory, KiB",
        per: "request",
        sizes: [64, 256, 1024, 4096],
        fleetSize: 246,
        measure: size => toKibibytes(measureRetainedBytes(() => createFilledQueue(size))),
    },
    {
        role: "agent",
        mechanism: "work queue: offer and finish",
        quantity: "processor time, µs",
        per: "request held",
        sizes: [64, 256, 1024, 4096],
        fleetSize: 246,
        measure: measureQueueTime,
    },
    {
        role: "every process",
        mechanism: "membership: processes known",
        quantity: "memory, KiB",
        per: "process",
        sizes: processCounts,
        fleetSize: 8500,
        measure: size => toKibibytes(measureRetainedBytes(() => createFilledMembership(size))),
    },
    {
        role: "every process",
        mechanism: "configuration: resources in force",
        quantity: "memory, KiB",
        per: "resource",
        sizes: [1500, 3000, 6000, 12_000],
        fleetSize: 11_500,
        measure: size => toKibibytes(measureRetainedBytes(() => createFilledState(size))),
    },
    {
        role: "every process",
        mechanism: "configuration: apply one change",
        quantity: "processor time, µs",
        per: "resource",
        sizes: [1500, 3000, 6000, 12_000],
        fleetSize: 11_500,
        measure: measureApplyTime,
    },
];

function toKibibytes(bytes: number): number {
    return bytes / 1024;
}

function createRoutingTarget(index: number, stages: number): RoutingTarget {
    const stage = index % stages;
    const width = layers / stages;
    const range = { model: "m", version: "v1", first: stage * width, last: stage * width + width - 1 };
    return {
        name: `target-${index}`,
        host: `10.${index >> 16}.${(index >> 8) & 255}.${index & 255}`,
        port: 7000,
        dataCentre: `dc${Math.floor(index / stages) % dataCentres}`,
        region: `r${Math.floor(index / stages) % 5}`,
        speed: 1 + index % 4,
        bandwidth: 1.25e9,
        latency: 0.1,
        slots: 256,
        holds: [range],
    };
}

function createFilledRouter(size: number, stages = 1): Router {
    const router = createRouter({
        clock: new ManualClock(),
        random: seededRandom(1),
        entry: "entry-1",
        dataCentre: "dc1",
        region: "r1",
    });
    router.update(Array.from({ length: size }, (_unused, index) => createRoutingTarget(index, stages)));
    return router;
}

function measureChooseTime(router: Router, stages: number): number {
    const request = {
        model: "m",
        version: "v1",
        layers,
        activationBytes: 16_384,
        prefix: [],
        exclude: new Set<string>(),
    };
    return measureTimePerRun(() => {
        const chosen = router.choose(request);
        if (chosen.isErr || chosen.value.stages.length !== stages) {
            throw new Error(`no chain of ${stages} targets of ${layersPerStage} layers each`);
        }
        chosen.value.end("completed");
    });
}

function createFilledQueue(size: number) {
    // Admission control is not measured here, so the settings make the queue accept every request.
    const queue = createWorkQueue({
        clock: new ManualClock(),
        slots: size,
        initialTokenCost: 1e-9,
        reserve: 0,
        headroom: 0,
    });
    for (let index = 0; index < size; index++) {
        offer(queue, `r${index}`, index);
    }
    assert(
        queue.running + queue.queued === size,
        `${queue.running} running and ${queue.queued} queued requests, expected ${size}`,
    );
    return queue;
}

function offer(queue: ReturnType<typeof createWorkQueue>, id: string, index: number): void {
    queue.offer({
        id,
        organisation: `organisation-${index % organisations}`,
        priority: 5,
        timeLeft: 600_000,
        startBound: 600_000,
        cost: 1,
        start: () => undefined,
        refuse: () => undefined,
    });
}

function measureQueueTime(size: number): number {
    const queue = createFilledQueue(size);
    return measureTimePerRun(index => {
        queue.finish(`r${index}`, 100);
        offer(queue, `r${index + size}`, index + size);
    });
}

function createLiveHost(index: number): LiveHost {
    return {
        process: `process-${index}`,
        role: index % 5 === 0 ? "entry" : "agent",
        host: `10.${index >> 16}.${(index >> 8) & 255}.${index & 255}`,
        port: 7000,
        dataCentre: `dc${index % dataCentres}`,
        region: `r${index % 5}`,
        state: "live",
    };
}

function createFilledMembership(size: number): Membership {
    const hosts = Array.from({ length: size }, (_unused, index) => createLiveHost(index));
    const membership = new Membership({ self: { ...createLiveHost(0), incarnation: "i" }, clock: new ManualClock() });
    membership.updateList(hosts);
    return membership;
}

function createTargetChange(index: number, slots: number) {
    const place = { host: `10.${index >> 16}.${(index >> 8) & 255}.${index & 255}`, port: 7000, dataCentre: "dc1" };
    const spec = specSchemas.target.parse({ ...place, slots });
    return { kind: "target" as const, name: `target-${index}`, spec };
}

function createFilledState(size: number): RevisionState {
    const state = new RevisionState();
    const changes = Array.from({ length: size }, (_unused, index) => createTargetChange(index, 32));
    state.apply([nextEntry(state, changes, { writeId: "w", changeId: "c" })]);
    return state;
}

function measureApplyTime(size: number): number {
    const state = createFilledState(size);
    return measureTimePerRun(index => {
        const names = { writeId: `w${index}`, changeId: `c${index}` };
        state.apply([nextEntry(state, [createTargetChange(index % size, 33 + index)], names)]);
    });
}
