import { parseAllDesired, type ResourceFailure, ResourceStore, RevisionState, StoreLog } from "@waxwingspar/config";
import { type TableStore } from "@waxwingspar/stores";
import {
    type Clock,
    type Failure,
    failure,
    type Outcome,
    resourceCodes,
    seededRandom,
    uniqueId,
} from "@waxwingspar/utils";
import { Result } from "true-myth";

/**
 * Creates resources in a table store through the resource store, as an operator's change does.
 *
 * @param documents - Resources as kind, name and spec.
 * @returns The revision that contains them; or `invalidSettings` with one line per fault.
 * @internal
 */
export async function seedResources(
    documents: readonly unknown[],
    table: TableStore,
    clock: Clock,
): Promise<Outcome<number>> {
    const state = new RevisionState();
    const resources = new ResourceStore({ log: new StoreLog(table), state, clock, random: seededRandom(1) });
    return applyDocuments(documents, resources);
}

/**
 * Applies resources through an existing resource store; see {@link seedResources}.
 *
 * @internal
 */
export async function applyDocuments(
    documents: readonly unknown[],
    resources: ResourceStore,
): Promise<Outcome<number>> {
    const desired = parseAllDesired(documents);
    if (desired.isErr) {
        return Result.err(describeFaults(desired.error));
    }
    if (desired.value.length === 0) {
        return Result.ok(0);
    }
    const accepted = await resources.apply(desired.value, { changeId: uniqueId() });
    return accepted.isErr ? Result.err(describeFaults(accepted.error)) : Result.ok(accepted.value.revision);
}

function describeFaults(faults: readonly (Failure | ResourceFailure)[]): Failure {
    const lines = faults.map(fault => {
        const place = ["resource" in fault ? fault.resource : "", fault.path ?? ""].filter(part => part !== "");
        return `${place.join(" ")}: ${fault.message}`;
    });
    return failure(resourceCodes.invalidSettings, lines.join("\n"));
}
