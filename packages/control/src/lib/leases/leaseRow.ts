import { type Row, type TableStore } from "@waxwingspar/stores";
import { failure, type Outcome, platformCodes, uniqueId } from "@waxwingspar/utils";
import { Result } from "true-myth";
import { z } from "zod";
import { commitResolved } from "../support/commitResolved.js";

/**
 * The value of a duty's row in the table service. The row is never deleted, so that its fence only grows.
 *
 * @public
 */
export const leaseValueSchema = z.object({
    /** The process that took the lease last. */
    holder: z.string(),
    /** The start of that process, so that a restarted holder is not taken for its predecessor. */
    incarnation: z.string(),
    /** Grows each time the lease is taken: by one, or beyond all fences of earlier eras of the store. */
    fence: z.number().int().nonnegative(),
    /** Milliseconds that the lease lasts from each renewal. */
    duration: z.number().positive(),
    /** True once the holder has given the lease up before its end. */
    released: z.boolean().default(false),
});

/**
 * The value of a lease row.
 *
 * @public
 */
export type LeaseValue = z.infer<typeof leaseValueSchema>;

/** The key of a duty's lease row. @public */
export function leaseKey(duty: string): string {
    return `lease/${duty}`;
}

/**
 * The key of the row that holds a duty's fence alone. It is written in the same transaction that takes the lease, and
 * not by renewals, so a transaction of a holder can name its version as a condition: the write fails once another
 * process has taken the duty over, however late it arrives.
 *
 * @public
 */
export function fenceKey(duty: string): string {
    return `fence/${duty}`;
}

/** Fences of one era of the store: far more than a duty is ever taken over in one. */
const fencesPerEra = 1_000_000_000;

/**
 * A fence below every one that is given out in an era of the store. A store that came back from a copy may lack the last fences of
 * the era before, which must not be given out again.
 *
 * @internal
 */
export function lowestFence(era: number): number {
    return era * fencesPerEra;
}

/**
 * The key of the row that exists while a fence is the duty's newest one. Unlike a version of the lease's row, which a store that came
 * back from a copy gives out again, the key is used once.
 *
 * @internal
 */
export function termKey(duty: string, fence: number): string {
    return `term/${duty}/${fence}`;
}

const fenceValueSchema = z.object({ fence: z.number().int().nonnegative() });

/**
 * The value of a fence row.
 *
 * @returns 0 if nobody has ever held the duty; undefined if the row cannot be read as a fence.
 * @internal
 */
export function parseFence(row: Row): number | undefined {
    return row.version === 0 ? 0 : fenceValueSchema.safeParse(row.value).data?.fence;
}

/**
 * Reads the value of a lease row.
 *
 * @returns The value, or undefined if the row does not exist or cannot be read as a lease.
 * @internal
 */
export function parseLease(row: Row): LeaseValue | undefined {
    return row.version === 0 ? undefined : leaseValueSchema.safeParse(row.value).data;
}

/**
 * Reads the fence that an agent must know before it accepts an order of a duty. The row carries a fence before its
 * holder learns that it has the lease, so the answer is at least as high as every fence of an order sent so far.
 *
 * A read may be stale, so a transaction without writes confirms on the truth that the row had not changed.
 *
 * @param store - The table service.
 * @param duty - The duty that gives orders to the agent's target; see {@link ordersDuty}.
 * @returns The fence, or 0 if nobody has ever held the duty. On a failure, `conditionFailed` for a read that was stale,
 * the caller keeps refusing orders and asks again.
 * @public
 */
export async function readFence(store: TableStore, duty: string): Promise<Outcome<number>> {
    const key = fenceKey(duty);
    const row = await store.get(key);
    if (row.isErr) {
        return Result.err(row.error);
    }
    const confirmation = { writeId: uniqueId(), conditions: [{ key, version: row.value.version }], writes: [] };
    const confirmed = await commitResolved(store, confirmation);
    if (confirmed.isErr) {
        return Result.err(confirmed.error);
    }
    const fence = parseFence(row.value);
    return fence === undefined
        ? Result.err(failure(platformCodes.storeUnavailable, `row ${key} cannot be read`))
        : Result.ok(fence);
}

/**
 * The one duty that gives orders to the targets of a data centre. Fences of two duties cannot be compared, so a target
 * takes orders from exactly one.
 *
 * @public
 */
export function ordersDuty(dataCentre: string): string {
    return `orders/${dataCentre}`;
}
