import {
    type AdapterSpec,
    adapterSpecSchema,
    type CredentialSpec,
    credentialSpecSchema,
    type ModelSpec,
    modelSpecSchema,
    type OrganisationSpec,
    organisationSpecSchema,
    type PlacementSpec,
    placementSpecSchema,
    type ServiceSpec,
    serviceSpecSchema,
    type TargetSpec,
    targetSpecSchema,
} from "./specs.js";

/**
 * The spec of each kind of resource.
 *
 * @public
 */
export interface Specs {
    model: ModelSpec;
    adapter: AdapterSpec;
    target: TargetSpec;
    service: ServiceSpec;
    organisation: OrganisationSpec;
    credential: CredentialSpec;
    placement: PlacementSpec;
}

/**
 * The kinds of resources.
 *
 * @public
 */
export type Kind = keyof Specs;

/** The schema of each kind's spec. @public */
export const specSchemas = {
    model: modelSpecSchema,
    adapter: adapterSpecSchema,
    target: targetSpecSchema,
    service: serviceSpecSchema,
    organisation: organisationSpecSchema,
    credential: credentialSpecSchema,
    placement: placementSpecSchema,
};

/**
 * A resource as it is in force.
 *
 * @public
 */
export interface Resource<K extends Kind = Kind> {
    readonly kind: K;
    readonly name: string;
    readonly spec: Specs[K];
    /** The revision that last changed the resource. Updates send it back as their condition. */
    readonly resourceVersion: number;
}
