import { z } from "zod";
import { recordBlockSchema } from "./ClaimRecord.js";

/** An object that holds the records of a range of segments. @internal */
export const archiveSchema = z.object({
    name: z.string(),
    /** The last segment that it holds. */
    last: z.number().int(),
    /** Partition time from which every record in it has expired. */
    expiry: z.number(),
});

/** @internal */
export type Archive = z.infer<typeof archiveSchema>;

/**
 * The base row of a partition. It changes before any segment is deleted, and every segment is written on condition that
 * it has not changed; so a deleted number can never be written again by an owner that was paused.
 *
 * @internal
 */
export const baseSchema = z.object({
    /** The first segment that no archive holds. Lower ones may be deleted. */
    first: z.number().int(),
    time: z.number(),
    archives: z.array(archiveSchema),
    /** Archives that nobody needs any more and that are still to be deleted. */
    discarded: z.array(z.string()),
});

/** @internal */
export type Base = z.infer<typeof baseSchema>;

/** A segment: the records of one group commit. @internal */
export const segmentSchema = z.object({
    writeId: z.string(),
    /** Partition time when it was written. */
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

/** The key of a segment. Keys sort as their numbers do, and before the base row. @internal */
export function segmentKey(partition: number, number: number): string {
    return partitionPrefix(partition) + String(number).padStart(numberWidth, "0");
}

/** The key of the base row. @internal */
export function baseKey(partition: number): string {
    return `${partitionPrefix(partition)}base`;
}

/** The prefix of the rows that tell in which era of the store the partition was settled. They sort after the base row. @internal */
export function recoveryMarkerPrefix(partition: number): string {
    return `${partitionPrefix(partition)}settled`;
}

/** The number of the segment with a key, or undefined for the base row. @internal */
export function segmentNumber(partition: number, key: string): number | undefined {
    const number = Number(key.slice(partitionPrefix(partition).length));
    return Number.isInteger(number) ? number : undefined;
}
