import { type Row, type TableStore, type Transaction } from "@waxwingspar/stores";
import { type Outcome, uniqueId } from "@waxwingspar/utils";
import { z } from "zod";

const markerValueSchema = z.object({ era: z.int().min(0) });

/**
 * The note in the store that no claim of a series is missing as of an era. While the store is in a later era, claims may have been lost.
 *
 * @internal
 */
export interface RecoveryMarker {
    /** The row that is this settlement's alone. */
    readonly key: string;
    readonly version: number;
    readonly era: number;
}

/**
 * The condition that holds until the series is settled anew. A version alone would not do, since a store that came back from a copy
 * gives it out again; the key of the row is used once.
 *
 * @param prefix - Of the rows of the series' settlement.
 * @param known - The settlement as last read; undefined before the first.
 * @internal
 */
export function recoveryMarkerCondition(
    prefix: string,
    known: RecoveryMarker | undefined,
): Transaction["conditions"][number] {
    return known === undefined ? { key: prefix, version: 0 } : { key: known.key, version: known.version };
}

/** The writes that replace a settlement. @internal */
export function recoveryMarkerWrites(
    prefix: string,
    known: RecoveryMarker | undefined,
    era: number,
): Transaction["writes"] {
    const first = { key: prefix, value: { era } };
    const added = { key: `${prefix}/${uniqueId()}`, value: { era } };
    return known === undefined ? [first, added] : [first, added, { key: known.key }];
}

/** Reads the settlement of a series. @internal */
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
