import { type RoutingTarget } from "../lib/routing/Router.js";

/** @internal */
export const fleet = {
    region: "region-1",
    dataCentres: ["dc-1", "dc-2", "dc-3"],
    /** Number of pipelines of two stages each; the size of a typical site. */
    pipelines: 40,
    layers: 40,
    activationBytes: 16_384,
    entries: 6,
    organisations: 10,
    /** Mean time that a request holds its slot, in milliseconds; converts slots to a request rate. */
    meanHold: 3300,
};

/** Number of slots of a target at speed 1. */
const slotsAtSpeed1 = 16;

/** Creates the targets of the benchmark: two stages, two kinds of accelerators, three data centres. @internal */
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

/** Returns the requests per second that fill all slots of the first stage. @internal */
export function capacityOf(targets: readonly RoutingTarget[]): number {
    const heads = targets.filter(target => target.holds[0]!.first === 0);
    return heads.reduce((sum, head) => sum + head.slots, 0) / fleet.meanHold * 1000;
}
