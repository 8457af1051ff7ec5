import { type Kind } from "@waxwingspar/config";
import { type Address } from "@waxwingspar/transport";

/** The model of a local site. @internal */
export const demoModel = { name: "demo", version: "v1", layers: 12 } as const;

/** The layer ranges of the model's three stages. @internal */
export const demoStages = [{ first: 0, last: 3 }, { first: 4, last: 7 }, { first: 8, last: 11 }] as const;

/** The organisation of a local site's callers. @internal */
export const localOrganisation = "local";

/** The plain service of a local site. @internal */
export const recordsService = "records";

/** @internal */
export interface SiteResource {
    readonly kind: Kind;
    readonly name: string;
    readonly spec: object;
}

/** A target of a local site whose agent listens. @internal */
export interface SiteTarget {
    readonly name: string;
    readonly address: Address;
    /** The index of the stage that the target holds; undefined for the target of the plain service. */
    readonly stage: number | undefined;
}

/** Returns all resources of a local site, in the form in which operators apply them. @internal */
export function siteResources(targets: readonly SiteTarget[]): SiteResource[] {
    const { name, version, layers } = demoModel;
    const workOrders = { method: "POST", path: "/work-orders" };
    return [
        { kind: "organisation", name: localOrganisation, spec: {} },
        { kind: "model", name, spec: { layers, versions: [version], current: version } },
        { kind: "service", name: recordsService, spec: { nonIdempotent: [workOrders] } },
        ...targets.map((target): SiteResource => ({ kind: "target", name: target.name, spec: targetSpec(target) })),
    ];
}

function targetSpec({ address, stage }: SiteTarget): object {
    const place = { ...address, dataCentre: "local", checksFence: true };
    const range = stage === undefined ? undefined : demoStages[stage];
    if (range === undefined) {
        return { ...place, service: recordsService };
    }
    return { ...place, holds: [{ model: demoModel.name, version: demoModel.version, ...range }] };
}
