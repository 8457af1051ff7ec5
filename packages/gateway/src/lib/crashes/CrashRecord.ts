import * as z from "zod/mini";
import { type CrashSet, joinCrashSets, noCrashes, sizeOfCrashSet } from "./CrashSet.js";

/** Schema of {@link CrashRecord}. */
export const recordSchema = z.object({
    /** Number of targets that crashed while running requests with the cause, as recorded by the gateways. */
    crashes: z.number(),
    /** For a part, the targets that crashed. */
    targets: z.optional(z.number()),
    /** Number of runs that were granted since the cause became suspect or was last excused. */
    retrials: z.number(),
    /** Number of crashes that no longer count because of a run without one; undefined before such a run. */
    excused: z.optional(z.number()),
    /** When the record was last written, in milliseconds since 1970. */
    writtenAt: z.number(),
});

/** Record in the store of a cause that may be to blame for crashes of targets. */
export type CrashRecord = z.infer<typeof recordSchema>;

/** Crashes that are not in the store yet. */
export interface UnwrittenCrashes {
    /** For a request. */
    readonly crashes: number;
    /** For a part. */
    readonly targets: CrashSet;
}

/** No crashes. */
export const noUnwritten: UnwrittenCrashes = { crashes: 0, targets: noCrashes };
/** The record of a cause without crashes. */
export const emptyRecord: CrashRecord = { crashes: 0, retrials: 0, writtenAt: 0 };

/** Computes the change of a record by crashes. @returns Undefined if the record contains the crashes already. */
export function addCrashes({ crashes, targets = noCrashes }: CrashRecord, added: UnwrittenCrashes) {
    const joined = joinCrashSets(targets, added.targets);
    if (added.crashes === 0) {
        return joined === targets ? undefined : { crashes: sizeOfCrashSet(joined), targets: joined };
    }
    return { crashes: crashes + added.crashes };
}

/** Merges two records of a cause, each of which may lack counts of the other. */
export function joinRecords(a: CrashRecord, b: CrashRecord): CrashRecord {
    const excused = Math.max(a.excused ?? 0, b.excused ?? 0);
    return {
        crashes: Math.max(a.crashes, b.crashes),
        targets: a.targets === undefined && b.targets === undefined
            ? undefined
            : joinCrashSets(a.targets ?? noCrashes, b.targets ?? noCrashes),
        retrials: Math.max(a.retrials, b.retrials),
        excused: excused === 0 ? undefined : excused,
        writtenAt: Math.max(a.writtenAt, b.writtenAt),
    };
}
