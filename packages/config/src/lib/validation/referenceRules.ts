import { type Failure, resourceCodes } from "@waxwingspar/utils";
import { type Kind, type Resource } from "../resources/Resource.js";
import { fieldFailure, type ResourceView, type Rule } from "./ResourceFailure.js";
import { ViewIndex } from "./ViewIndex.js";

const { invalidField, missingReference, stillReferenced } = resourceCodes;

/** @internal */
export const modelReferences: Rule<"model"> = ({ spec }) => [
    ...repeatedFailures(spec.versions, "spec.versions"),
    ...(spec.versions.includes(spec.current)
        ? []
        : [fieldFailure(missingReference, "spec.current", `version ${spec.current} is not in spec.versions`)]),
];

/** @internal */
export const adapterReferences: Rule<"adapter"> = ({ spec }, view) => [
    ...repeatedFailures(spec.versions, "spec.versions"),
    ...missingFailures(view, "model", spec.model, "spec.model"),
];

/** @internal */
export const targetReferences: Rule<"target"> = (target, view) => [
    ...target.spec.holds.flatMap((held, index) =>
        versionReference(view, held.model, held.version, `spec.holds.${index}`)
    ),
    ...(target.spec.service === undefined ? [] : missingFailures(view, "service", target.spec.service, "spec.service")),
    ...addressFailures(target, view),
];

/** @internal */
export const organisationReferences: Rule<"organisation"> = ({ spec }, view) =>
    (spec.allow ?? []).flatMap((name, index) =>
        view.get("model", name) !== undefined || view.get("service", name) !== undefined
            ? []
            : [fieldFailure(missingReference, `spec.allow.${index}`, `no model or service is named ${name}`)]
    );

/** @internal */
export const credentialReferences: Rule<"credential"> = (credential, view) => {
    const { role, organisation } = credential.spec;
    const failures: Failure[] = [];
    if (role === "caller" && organisation === undefined) {
        failures.push(fieldFailure(invalidField, "spec.organisation", "a caller's credential needs an organisation"));
    }
    if (organisation !== undefined) {
        failures.push(...missingFailures(view, "organisation", organisation, "spec.organisation"));
    }
    if (ViewIndex.of(view).findSameToken(credential) !== undefined) {
        failures.push(fieldFailure(invalidField, "spec.tokenHash", "another credential has the same token"));
    }
    return failures;
};

/** @internal */
export const placementReferences: Rule<"placement"> = ({ spec }, view) => [
    ...versionReference(view, spec.model, spec.version, "spec"),
    ...spec.stages.flatMap((stage, index) =>
        missingFailures(view, "target", stage.target, `spec.stages.${index}.target`)
    ),
    ...repeatedFailures(spec.stages.map(stage => stage.target), "spec.stages", ".target"),
];

/**
 * Checks whether other resources prevent the removal of a resource. Placements do not prevent it, because the placement
 * duty adapts them to what operators declare.
 *
 * @internal
 */
export function removalFailures(kind: Kind, name: string, view: ResourceView): Failure[] {
    return findReferrers(kind, name, view).map(referrer =>
        fieldFailure(stillReferenced, "name", `${referrer} refers to it`)
    );
}

/**
 * Lists the resources, except placements, that refer to a resource, as `kind/name`.
 *
 * @internal
 */
export function findReferrers(kind: Kind, name: string, view: ResourceView): string[] {
    const found: Resource[] = [];
    if (kind === "model") {
        found.push(...view.list("adapter").filter(one => one.spec.model === name));
        found.push(...view.list("target").filter(one => one.spec.holds.some(held => held.model === name)));
    }
    if (kind === "service") {
        found.push(...view.list("target").filter(one => one.spec.service === name));
    }
    if (kind === "model" || kind === "service") {
        found.push(...view.list("organisation").filter(one => one.spec.allow?.includes(name)));
    }
    if (kind === "organisation") {
        found.push(...view.list("credential").filter(one => one.spec.organisation === name));
    }
    return found.map(one => `${one.kind}/${one.name}`);
}

function missingFailures(view: ResourceView, kind: Kind, name: string, path: string): Failure[] {
    return view.get(kind, name) === undefined
        ? [fieldFailure(missingReference, path, `no ${kind} is named ${name}`)]
        : [];
}

function versionReference(view: ResourceView, model: string, version: string, path: string): Failure[] {
    const found = view.get("model", model);
    if (found === undefined) {
        return missingFailures(view, "model", model, `${path}.model`);
    }
    return found.spec.versions.includes(version)
        ? []
        : [fieldFailure(missingReference, `${path}.version`, `model ${model} has no version ${version}`)];
}

function repeatedFailures(names: readonly string[], path: string, suffix = ""): Failure[] {
    return names.flatMap((name, index) =>
        names.indexOf(name) === index
            ? []
            : [fieldFailure(invalidField, `${path}.${index}${suffix}`, `${name} is repeated`)]
    );
}

/** Each target has its own agent, so two targets cannot share an address. */
function addressFailures(target: Resource<"target">, view: ResourceView): Failure[] {
    const other = ViewIndex.of(view).findSameAddress(target);
    return other === undefined
        ? []
        : [fieldFailure(invalidField, "spec.port", `target ${other} already has this address`)];
}
