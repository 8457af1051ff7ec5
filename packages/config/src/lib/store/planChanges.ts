import { type Failure, failure, resourceCodes } from "@waxwingspar/utils";
import { Result } from "true-myth";
import { type Kind } from "../resources/Resource.js";
import { canonicalJson } from "../revisions/digest.js";
import { type Change, resourceKey } from "../revisions/LogEntry.js";
import { type DesiredChange } from "../validation/parseDesired.js";
import { type ResourceFailure, type ResourceView, withResource } from "../validation/ResourceFailure.js";
import { validateChanges } from "../validation/validateChanges.js";
import { diffFields, type FieldChange } from "./diffFields.js";

/**
 * The effect of a change, or of its dry run, on one resource.
 *
 * @public
 */
export interface ChangeResult {
    readonly kind: Kind;
    readonly name: string;
    readonly action: "created" | "updated" | "deleted" | "unchanged";
    /** The version before the change; 0 if the resource did not exist. */
    readonly resourceVersion: number;
    /** The fields that differ. */
    readonly fields: readonly FieldChange[];
}

/** The changes that need a new revision, and the result for each resource of the request. @internal */
export interface Plan {
    readonly changes: readonly Change[];
    readonly results: readonly ChangeResult[];
}

/**
 * Validates changes against a state and omits those without effect.
 *
 * @internal
 */
export function planChanges(
    state: ResourceView,
    desired: readonly DesiredChange[],
): Result<Plan, readonly ResourceFailure[]> {
    const conflicts = desired.flatMap(change => checkVersion(state, change));
    if (conflicts.length > 0) {
        return Result.err(conflicts);
    }
    const faults = validateChanges(state, desired);
    if (faults.length > 0) {
        return Result.err(faults);
    }
    const results = desired.map(change => compare(state, change));
    const changes = desired.filter((_change, index) => results[index]?.action !== "unchanged");
    return Result.ok({ changes: changes.map(asChange), results });
}

function checkVersion(state: ResourceView, { kind, name, spec, resourceVersion }: DesiredChange): ResourceFailure[] {
    const current = state.get(kind, name)?.resourceVersion ?? 0;
    const failures: Failure[] = [];
    if (resourceVersion !== undefined && resourceVersion !== current) {
        const message = `the resource has version ${current}, but the request expects ${resourceVersion}`;
        failures.push(failure(resourceCodes.conflict, message, { path: "resourceVersion" }));
    }
    else if (spec === undefined && current === 0) {
        failures.push(failure(resourceCodes.noSuchResource, `no ${kind} is named ${name}`, { path: "name" }));
    }
    return withResource(failures, resourceKey(kind, name));
}

function compare(state: ResourceView, { kind, name, spec }: DesiredChange): ChangeResult {
    const current = state.get(kind, name);
    const fields = diffFields(current?.spec, spec, "spec");
    const resourceVersion = current?.resourceVersion ?? 0;
    if (spec === undefined) {
        return { kind, name, action: "deleted", resourceVersion, fields };
    }
    if (current === undefined) {
        return { kind, name, action: "created", resourceVersion, fields };
    }
    const same = canonicalJson(current.spec) === canonicalJson(spec);
    return { kind, name, action: same ? "unchanged" : "updated", resourceVersion, fields };
}

function asChange({ kind, name, spec }: DesiredChange): Change {
    return spec === undefined ? { kind, name } : { kind, name, spec };
}
