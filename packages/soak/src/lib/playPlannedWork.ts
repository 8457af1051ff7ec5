import { type Random } from "@waxwingspar/utils";
import { type SoakGateway } from "./SoakGateway.js";

/** Options of {@link playPlannedWork}. */
export interface PlannedWorkOptions {
    readonly random: Random;
    readonly gateways: readonly SoakGateway[];
    readonly wait: (duration: number) => Promise<void>;
    readonly isOver: () => boolean;
    /** Changes the configuration several times in a row. */
    readonly publishSeries: () => Promise<void>;
    /** Lets a crowd of callers come to a gateway and leave. */
    readonly crowd: (gateway: SoakGateway) => Promise<void>;
}

interface Bounds {
    readonly least: number;
    readonly most: number;
}

/** Bounds of milliseconds: between two pieces of work, between the stops of a series, and between signals to one process. */
const workInterval: Bounds = { least: 500, most: 3_000 };
const stopGap: Bounds = { least: 100, most: 2_000 };
const signalGap: Bounds = { least: 0, most: 2_400 };
/** Bounds of the milliseconds from the start of a process to its stop. */
const shortLife: Bounds = { least: 0, most: 1_000 };
const hangUps = 3;
/** Milliseconds after which it is looked again for a gateway that serves callers. */
const retryInterval = 100;

/** Stops gateways that serve callers as planned, and sends them signals, alone, in series, overlapping and beside other work. */
export async function playPlannedWork(options: PlannedWorkOptions): Promise<void> {
    const { random, wait, isOver, publishSeries, crowd } = options;
    const draw = ({ least, most }: Bounds) => least + random.next() * (most - least);
    const shuffle = () =>
        options.gateways.filter(({ isSettled }) => isSettled).map(gateway => ({ gateway, rank: random.next() }))
            .sort((one, other) => one.rank - other.rank)
            .map(({ gateway }) => gateway);
    const hangUp = async (gateway: SoakGateway) => {
        for (let count = 0; count < hangUps; count++) {
            gateway.hangUp();
            await wait(draw(signalGap));
        }
    };
    const stopOverlapping = async (gateways: readonly SoakGateway[]) => {
        const stops: Promise<void>[] = [];
        for (const gateway of gateways) {
            stops.push(gateway.restart());
            await wait(draw(stopGap));
        }
        await Promise.all(stops);
    };
    const stopInSeries = async (gateways: readonly SoakGateway[]) => {
        for (const gateway of gateways) {
            await gateway.restart();
        }
    };
    const works: readonly ((gateways: readonly [SoakGateway, ...SoakGateway[]]) => Promise<unknown>)[] = [
        ([one]) => one.restart(),
        ([one]) => one.restart(draw(signalGap)),
        gateways => stopOverlapping(gateways),
        gateways => stopOverlapping(gateways.slice(0, 2)),
        gateways => stopInSeries(gateways.slice(0, 2)),
        ([one]) => Promise.all([one.restart(), publishSeries()]),
        ([one]) => Promise.all([one.restart(), hangUp(one)]),
        ([one]) => Promise.all([crowd(one), one.restart()]),
        ([one]) => hangUp(one),
        async ([one]) => {
            await one.restart();
            await wait(draw(shortLife));
            await one.restart();
        },
    ];
    const begun: Promise<unknown>[] = [];
    while (!isOver()) {
        const [first, ...others] = shuffle();
        const work = works[random.below(works.length)];
        if (first === undefined || work === undefined) {
            await wait(retryInterval);
            continue;
        }
        begun.push(work([first, ...others]));
        await wait(draw(workInterval));
    }
    await Promise.all(begun);
}
