import { Membership, nextEntry, RevisionState, specSchemas } from "@waxwingspar/config";
import { createRouter, createWorkQueue, type Router, type RoutingTarget } from "@waxwingspar/policy";
import { type LiveHost } from "@waxwingspar/stores";
import { assert, ManualClock, seededRandom } from "@waxwingspar/utils";
import { bytesKept, timePerRun } from "./memory.js";

/**
 * One quantity that is measured at several sizes.
 *
 * @internal
 */
export interface Measurement {
    readonly role: string;
    readonly mechanism: string;
    /** What is counted, with its unit. */
    readonly quantity: string;
    /** What is varied. */
    readonly per: string;
    readonly sizes: readonly number[];
    /** The size at the fleet that docs/CAPACITY.md plans for. */
    readonly fleetSize: number;
    readonly measure: (size: number) => number;
}

const layers = 80;
const stagesOfChain = 8;
const layersOfStage = layers / stagesOfChain;
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
        measure: size => kibibytes(bytesKept(() => filledRouter(size))),
    },
    {
        role: "entry",
        mechanism: "router: choose a chain of one target",
        quantity: "processor time, µs",
        per: "target",
        sizes: layerRangeTargets,
        fleetSize: 6700,
        measure: size => chooseTime(filledRouter(size), 1),
    },
    {
        role: "entry",
        mechanism: "router: choose a chain of eight targets",
        quantity: "processor time, µs",
        per: "target",
        sizes: layerRangeTargets.map(size => size * stagesOfChain),
        fleetSize: 53_600,
        measure: size => chooseTime(filledRouter(size, stagesOfChain), stagesOfChain),
    },
    {
        role: "agent",
        mechanism: "work queue: requests held",
        quantity: "memory, KiB",
        per: "request",
        sizes: [64, 256, 1024, 4096],
        fleetSize: 246,
        measure: size => kibibytes(bytesKept(() => filledQueue(size))),
    },
    {
        role: "agent",
        mechanism: "work queue: offer and finish",
        quantity: "processor time, µs",
        per: "request held",
        sizes: [64, 256, 1024, 4096],
        fleetSize: 246,
        measure: queueTime,
    },
    {
        role: "every process",
        mechanism: "membership: processes known",
        quantity: "memory, KiB",
        per: "process",
        sizes: processCounts,
        fleetSize: 8500,
        measure: size => kibibytes(bytesKept(() => filledMembership(size))),
    },
    {
        role: "every process",
        mechanism: "configuration: resources in force",
        quantity: "memory, KiB",
        per: "resource",
        sizes: [1500, 3000, 6000, 12_000],
        fleetSize: 11_500,
        measure: size => kibibytes(bytesKept(() => filledState(size))),
    },
    {
        role: "every process",
        mechanism: "configuration: apply one change",
        quantity: "processor time, µs",
        per: "resource",
        sizes: [1500, 3000, 6000, 12_000],
        fleetSize: 11_500,
        measure: applyTime,
    },
];

function kibibytes(bytes: number): number {
    return bytes / 1024;
}

function routingTarget(index: number, stages: number): RoutingTarget {
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

function filledRouter(size: number, stages = 1): Router {
    const router = createRouter({
        clock: new ManualClock(),
        random: seededRandom(1),
        entry: "entry-1",
        dataCentre: "dc1",
        region: "r1",
    });
    router.update(Array.from({ length: size }, (_unused, index) => routingTarget(index, stages)));
    return router;
}

function chooseTime(router: Router, stages: number): number {
    const request = {
        model: "m",
        version: "v1",
        layers,
        activationBytes: 16_384,
        prefix: [],
        exclude: new Set<string>(),
    };
    return timePerRun(() => {
        const chosen = router.choose(request);
        if (chosen.isErr || chosen.value.stages.length !== stages) {
            throw new Error(`no chain of ${stages} targets of ${layersOfStage} layers each`);
        }
        chosen.value.end("completed");
    });
}

function filledQueue(size: number) {
    // Admission is not what is measured here: every request is to be held.
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
    assert(queue.running + queue.queued === size, `${queue.running} run and ${queue.queued} wait instead of ${size}`);
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

function queueTime(size: number): number {
    const queue = filledQueue(size);
    return timePerRun(index => {
        queue.finish(`r${index}`, 100);
        offer(queue, `r${index + size}`, index + size);
    });
}

function liveHost(index: number): LiveHost {
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

function filledMembership(size: number): Membership {
    const hosts = Array.from({ length: size }, (_unused, index) => liveHost(index));
    const membership = new Membership({ self: { ...liveHost(0), incarnation: "i" }, clock: new ManualClock() });
    membership.updateList(hosts);
    return membership;
}

function targetChange(index: number, slots: number) {
    const place = { host: `10.${index >> 16}.${(index >> 8) & 255}.${index & 255}`, port: 7000, dataCentre: "dc1" };
    const spec = specSchemas.target.parse({ ...place, slots });
    return { kind: "target" as const, name: `target-${index}`, spec };
}

function filledState(size: number): RevisionState {
    const state = new RevisionState();
    const changes = Array.from({ length: size }, (_unused, index) => targetChange(index, 32));
    state.apply([nextEntry(state, changes, { writeId: "w", changeId: "c" })]);
    return state;
}

function applyTime(size: number): number {
    const state = filledState(size);
    return timePerRun(index => {
        const names = { writeId: `w${index}`, changeId: `c${index}` };
        state.apply([nextEntry(state, [targetChange(index % size, 33 + index)], names)]);
    });
}
