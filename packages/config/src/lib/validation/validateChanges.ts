import { type Failure, failure, resourceCodes } from "@waxwingspar/utils";
import { type Kind, type Resource } from "../resources/Resource.js";
import { resourceKey } from "../revisions/LogEntry.js";
import { heldCapacity, modelCapacity, stageCapacity } from "./capacityRules.js";
import { heldLayers, pinnedPipeline, placementLayers } from "./layerRules.js";
import { type DesiredChange } from "./parseDesired.js";
import {
    adapterReferences,
    credentialReferences,
    findReferrers,
    modelReferences,
    organisationReferences,
    placementReferences,
    removalFailures,
    targetReferences,
} from "./referenceRules.js";
import { type ResourceFailure, type ResourceView, type Rule, withResource } from "./ResourceFailure.js";

const rules: { readonly [K in Kind]: readonly Rule<K>[]; } = {
    model: [modelReferences, modelCapacity],
    adapter: [adapterReferences],
    target: [targetReferences, heldLayers, pinnedPipeline, heldCapacity],
    service: [],
    organisation: [organisationReferences],
    credential: [credentialReferences],
    placement: [placementReferences, placementLayers, stageCapacity],
};

/**
 * Checks changes against the state of all resources after the changes.
 *
 * @param before - The resources in force.
 * @param changes - Changes that take effect atomically.
 * @returns All failures, each with its resource and field; empty if the changes are valid.
 * @public
 */
export function validateChanges(before: ResourceView, changes: readonly DesiredChange[]): ResourceFailure[] {
    const after = changedView(before, changes);
    const repeated = repeatedChanges(changes);
    return repeated.length > 0 ? repeated : [
        ...changes.flatMap(change => checkChange(change, after)),
        ...findDependents(changes, after).flatMap(resource => checkResource(resource, after)),
    ];
}

/**
 * A view of the resources after some changes.
 *
 * @internal
 */
export function changedView(before: ResourceView, changes: readonly DesiredChange[]): ResourceView {
    const changed = new Map(changes.map(change => [resourceKey(change.kind, change.name), asResource(change)]));
    const lists = new Map<Kind, readonly Resource[]>();
    const build = (kind: Kind): readonly Resource[] => [
        ...before.list(kind).filter(one => !changed.has(resourceKey(kind, one.name))),
        ...[...changed.values()].filter(one => one?.kind === kind).filter(one => one !== undefined),
    ];
    const list = (kind: Kind): readonly Resource[] => {
        const found = lists.get(kind) ?? build(kind);
        lists.set(kind, found);
        return found;
    };
    return {
        list: <K extends Kind>(kind: K) => list(kind) as readonly Resource<K>[],
        get: <K extends Kind>(kind: K, name: string) => {
            const key = resourceKey(kind, name);
            return (changed.has(key) ? changed.get(key) : before.get(kind, name)) as Resource<K> | undefined;
        },
    };
}

function checkChange(change: DesiredChange, after: ResourceView): ResourceFailure[] {
    const resource = asResource(change);
    if (resource !== undefined) {
        return checkResource(resource, after);
    }
    return withResource(removalFailures(change.kind, change.name, after), resourceKey(change.kind, change.name));
}

function checkResource(resource: Resource, after: ResourceView): ResourceFailure[] {
    const kindRules = rules[resource.kind] as readonly Rule<Kind>[];
    const failures: Failure[] = kindRules.flatMap(rule => rule(resource, after));
    return withResource(failures, resourceKey(resource.kind, resource.name));
}

/** Unchanged resources that refer to a changed model, whose ranges may be invalid if the model has fewer layers now. */
function findDependents(changes: readonly DesiredChange[], after: ResourceView): Resource[] {
    const changedKeys = new Set(changes.map(change => resourceKey(change.kind, change.name)));
    const models = changes.filter(change => change.kind === "model" && change.spec !== undefined);
    const keys = new Set(models.flatMap(change => findReferrers("model", change.name, after)));
    return [...after.list("target"), ...after.list("adapter")].filter(one => {
        const key = resourceKey(one.kind, one.name);
        return keys.has(key) && !changedKeys.has(key);
    });
}

function repeatedChanges(changes: readonly DesiredChange[]): ResourceFailure[] {
    const seen = new Set<string>();
    const keys = changes.map(change => resourceKey(change.kind, change.name));
    return keys.filter(key => seen.size === seen.add(key).size).map(key => ({
        ...failure(resourceCodes.invalidField, "the resource appears more than once in the same change", {
            path: "name",
        }),
        resource: key,
    }));
}

function asResource({ kind, name, spec }: DesiredChange): Resource | undefined {
    return spec === undefined ? undefined : { kind, name, spec, resourceVersion: 0 };
}
