import { type Configuration, type Resource } from "@waxwingspar/config";
import { pinnedPipelines } from "../placement/pinnedPipelines.js";
import { replicaShares, type SiteCapacity } from "../placement/replicaShares.js";
import { type SiteModel } from "./SiteView.js";

/**
 * Computes how many pipelines of each model a data centre is to hold. Pipelines that operators have pinned count
 * towards the replicas of a model in every data centre.
 *
 * @internal
 */
export function siteModels(configuration: Configuration, dataCentre: string): SiteModel[] {
    const targets = configuration.list("target").filter(({ spec }) => spec.service === undefined);
    const pins = targets.filter(({ spec }) => spec.holds.length > 0).map(({ name, spec }) => ({ name, ...spec }));
    const sites = siteCapacities(targets.filter(({ spec }) => spec.holds.length === 0));
    return configuration.list("model").map(({ name, spec }) => {
        const pinned = pinnedPipelines(pins, name, spec.current, spec.layers).length;
        const large = sites.filter(({ memory }) => memory >= spec.layers * spec.layerBytes);
        const shares = replicaShares(Math.max(0, spec.replicas - pinned), large);
        return { name, spec, wanted: shares.get(dataCentre) ?? 0 };
    });
}

function siteCapacities(targets: readonly Resource<"target">[]): SiteCapacity[] {
    const memory = new Map<string, number>();
    for (const { spec } of targets) {
        memory.set(spec.dataCentre, (memory.get(spec.dataCentre) ?? 0) + spec.accelerator.memory);
    }
    return [...memory]
        .map(([dataCentre, bytes]) => ({ dataCentre, memory: bytes }))
        .sort((a, b) => a.dataCentre < b.dataCentre ? -1 : 1);
}
