import { type Configuration, type Resource } from "@waxwingspar/config";
import { type RoutingTarget } from "@waxwingspar/policy";

type HeldLayers = RoutingTarget["holds"][number];

/**
 * What the router needs to know about each target: its spec, with the layers of the placements that are ready.
 *
 * @internal
 */
export function routingTargets(configuration: Configuration): RoutingTarget[] {
    const placed = placedLayers(configuration);
    return configuration.list("target").map(target => toRoutingTarget(target, placed.get(target.name) ?? []));
}

function toRoutingTarget({ name, spec }: Resource<"target">, placed: readonly HeldLayers[]): RoutingTarget {
    return {
        name,
        host: spec.host,
        port: spec.port,
        dataCentre: spec.dataCentre,
        region: spec.region,
        speed: spec.accelerator.speed,
        bandwidth: spec.link.bandwidth,
        latency: spec.link.latency,
        slots: spec.slots,
        holds: [...spec.holds, ...placed.filter(one => !spec.holds.some(held => isSame(held, one)))],
        service: spec.service,
    };
}

function isSame(a: HeldLayers, b: HeldLayers): boolean {
    return a.model === b.model && a.version === b.version && a.first === b.first && a.last === b.last;
}

function placedLayers(configuration: Configuration): Map<string, HeldLayers[]> {
    const placed = new Map<string, HeldLayers[]>();
    for (const { spec } of configuration.list("placement")) {
        if (!spec.ready) {
            continue;
        }
        for (const { target, first, last } of spec.stages) {
            const held = placed.get(target) ?? [];
            held.push({ model: spec.model, version: spec.version, first, last });
            placed.set(target, held);
        }
    }
    return placed;
}
