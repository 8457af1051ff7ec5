import { headKey, type ResourceStore } from "@waxwingspar/config";
import { type TableStore } from "@waxwingspar/stores";
import { failure, type Outcome, platformCodes, uniqueId } from "@waxwingspar/utils";
import { Result } from "true-myth";
import { z } from "zod";
import { commitResolved } from "../support/commitResolved.js";
import { type RowCondition } from "./SiteDuty.js";
import { type PlacementChange } from "./SiteView.js";

const headRevisionSchema = z.object({ revision: z.number().int() });

/**
 * Reads the accepted revision and writes placements for a {@link SiteDuty}, through the resource store.
 *
 * @public
 */
export class PlacementStore {
    /**
     * @param resources - The resource store that accepts the changes.
     * @param table - The table service that stores the resources.
     */
    constructor(private readonly resources: Pick<ResourceStore, "apply">, private readonly table: TableStore) {}

    /**
     * Reads the latest accepted revision. A transaction without writes confirms that the read was not stale.
     *
     * @returns The revision; `conditionFailed` if the read was stale or another revision has been accepted since.
     */
    async readRevision(): Promise<Outcome<number>> {
        const row = await this.table.get(headKey);
        if (row.isErr) {
            return Result.err(row.error);
        }
        const { version, value } = row.value;
        const conditions = [{ key: headKey, version }];
        const confirmed = await commitResolved(this.table, { writeId: uniqueId(), conditions, writes: [] });
        if (confirmed.isErr) {
            return Result.err(confirmed.error);
        }
        const head = version === 0 ? { revision: 0 } : headRevisionSchema.safeParse(value).data;
        return head === undefined
            ? Result.err(failure(platformCodes.storeUnavailable, "the head of the configuration log cannot be read"))
            : Result.ok(head.revision);
    }

    /**
     * Creates, updates or deletes a placement.
     *
     * @param guard - The row version that must be unchanged for the write to be accepted.
     * @param changeId - The idempotency id of the change; repeating a change of unknown outcome must use the same id.
     * @returns The revision that contains the change.
     */
    async writePlacement(
        { name, spec, resourceVersion }: PlacementChange,
        guard: RowCondition,
        changeId: string,
    ): Promise<Outcome<number>> {
        const change = { kind: "placement" as const, name, spec, resourceVersion };
        const accepted = await this.resources.apply([change], { changeId, conditions: [guard] });
        return accepted.isOk
            ? Result.ok(accepted.value.revision)
            : Result.err(accepted.error[0] ?? failure(platformCodes.storeUnavailable, `${name} was not written`));
    }
}
