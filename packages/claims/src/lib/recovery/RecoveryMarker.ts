import { type Row, type TableStore, type Transaction } from "@waxwingspar/stores";
import { type Outcome, uniqueId } from "@waxwingspar/utils";
import { z } from "zod";

const markerValueSchema = z.object({ era: z.int().min(0) });

/**
 * A row in the store stating that the lost claims of a series were recovered in an era. While the store is in a later
 * era, claims may be missing.
 *
 * @internal
 */
export interface RecoveryMarker {
    /** The key of the row, used by this marker only. */
    readonly key: string;
    readonly version: number;
    readonly era: number;
}

/**
 * The condition that holds until the series is recovered again. A row version alone would not be enough, since a store
 * that was restored from a copy assigns the same versions again; the key of the row is unique.
 *
 * @param prefix - The key prefix of the series' recovery markers.
 * @param known - The marker as last read; undefined before the first.
 * @internal
 */
export function recoveryMarkerCondition(
    prefix: string,
    known: RecoveryMarker | undefined,
): Transaction["conditions"][number] {
    return known === undefined ? { key: prefix, version: 0 } : { key: known.key, version: known.version };
}

/** The writes that replace a recovery marker. @internal */
export function recoveryMarkerWrites(
    prefix: string,
    known: RecoveryMarker | undefined,
    era: number,
): Transaction["writes"] {
    const first = { key: prefix, value: { era } };
    const added = { key: `${prefix}/${uniqueId()}`, value: { era } };
    return known === undefined ? [first, added] : [first, added, { key: known.key }];
}

/** Reads the recovery marker of a series. @internal */
export async function readRecoveryMarker(
    table: TableStore,
    prefix: string,
): Promise<Outcome<RecoveryMarker | undefined>> {
    const rows = await table.scan(`${prefix}/`, "", 1);
    return rows.map(([row]) => row === undefined ? undefined : markerOf(row));
}

function markerOf({ key, version, value }: Row): RecoveryMarker {
    return { key, version, era: markerValueSchema.parse(value).era };
}
