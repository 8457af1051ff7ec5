import { z } from "zod";
import { recordBlockSchema } from "./ClaimRecord.js";

/** An object in the object store that holds the records of a range of segments. @internal */
export const archiveSchema = z.object({
    name: z.string(),
    /** The last segment in the archive. */
    last: z.number().int(),
    /** Partition time in milliseconds from which all records in the archive have expired. */
    expiry: z.number(),
});

/** @internal */
export type Archive = z.infer<typeof archiveSchema>;

/**
 * The base row of a partition. It changes before any segment is deleted, and every segment is written on condition that
 * the base row has not changed. An owner that was paused can therefore never reuse the number of a deleted segment.
 *
 * @internal
 */
export const baseSchema = z.object({
    /** The first segment that no archive holds. Segments with lower numbers may be deleted. */
    first: z.number().int(),
    time: z.number(),
    archives: z.array(archiveSchema),
    /** Archives that are no longer needed and have not been deleted yet. */
    discarded: z.array(z.string()),
});

/** @internal */
export type Base = z.infer<typeof baseSchema>;

/** A segment: the records of one group commit. @internal */
export const segmentSchema = z.object({
    writeId: z.string(),
    /** Partition time in milliseconds at which the segment was written. */
    time: z.number(),
    block: recordBlockSchema,
});

/** @internal */
export type Segment = z.infer<typeof segmentSchema>;

const numberWidth = 12;

/** The prefix of a partition's rows and objects. @internal */
export function partitionPrefix(partition: number): string {
    return `claims/${partition}/`;
}

/** The key of a segment. Keys sort by segment number, and before the base row. @internal */
export function segmentKey(partition: number, number: number): string {
    return partitionPrefix(partition) + String(number).padStart(numberWidth, "0");
}

/** The key of the base row. @internal */
export function baseKey(partition: number): string {
    return `${partitionPrefix(partition)}base`;
}

/** The key prefix of the partition's recovery markers. They sort after the base row. @internal */
export function recoveryMarkerPrefix(partition: number): string {
    return `${partitionPrefix(partition)}settled`;
}

/** The number of the segment with a key, or undefined if the row is not a segment. @internal */
export function segmentNumber(partition: number, key: string): number | undefined {
    const number = Number(key.slice(partitionPrefix(partition).length));
    return Number.isInteger(number) ? number : undefined;
}
