import { type RoutingTarget } from "../lib/routing/Router.js";

/** @internal */
export const fleet = {
    region: "region-1",
    dataCentres: ["dc-1", "dc-2", "dc-3"],
    /** Pipelines, each of two stages; as many as the sites of today have. */
    pipelines: 40,
    layers: 40,
    activationBytes: 16_384,
    entries: 6,
    organisations: 10,
    /** The mean time that a request holds its slot, in milliseconds, for turning slots into a rate. */
    meanHold: 3300,
};

const slotsAtSpeed1 = 16;

/** The targets of the benchmark: two stages, two kinds of accelerators, three data centres. @internal */
export function createFleet(pipelines = fleet.pipelines): RoutingTarget[] {
    const targets: RoutingTarget[] = [];
    for (let index = 0; index < pipelines; index++) {
        const speed = 1 + index % 2;
        for (const stage of [0, 1]) {
            targets.push({
                name: `target-${stage}-${index}`,
                host: "127.0.0.1",
                port: 1,
                dataCentre: fleet.dataCentres[index % fleet.dataCentres.length]!,
                region: fleet.region,
                speed,
                bandwidth: 1_250_000_000,
                latency: 0.3,
                slots: slotsAtSpeed1 * speed,
                holds: [{ model: "assistant", version: "v1", first: stage * 20, last: stage * 20 + 19 }],
            });
        }
    }
    return targets;
}

/** Requests per second that fill every slot of the first stage. @internal */
export function capacityOf(targets: readonly RoutingTarget[]): number {
    const heads = targets.filter(target => target.holds[0]!.first === 0);
    return heads.reduce((sum, head) => sum + head.slots, 0) / fleet.meanHold * 1000;
}
