import { type Row, type TableStore } from "@waxwingspar/stores";
import { failure, type Outcome, platformCodes, uniqueId } from "@waxwingspar/utils";
import { Result } from "true-myth";
import { z } from "zod";
import { commitResolved } from "../support/commitResolved.js";

/**
 * The value of a duty's lease row in the table service. The row is never deleted, so its fence never decreases.
 *
 * @public
 */
export const leaseValueSchema = z.object({
    /** The process that acquired the lease most recently. */
    holder: z.string(),
    /** The incarnation (start) of that process, so that a restarted holder is distinguished from the earlier one. */
    incarnation: z.string(),
    /** Fencing token. Each acquisition increases it by one, or to above all fences of earlier eras of the store. */
    fence: z.number().int().nonnegative(),
    /** Milliseconds that the lease is valid after each renewal. */
    duration: z.number().positive(),
    /** True once the holder has released the lease before its expiry. */
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
 * The key of the row that holds only a duty's fence. The transaction that acquires the lease writes it; renewals do
 * not. A holder can therefore use its version as a condition of a transaction, which then fails once another process
 * has taken the duty over, however late the transaction arrives.
 *
 * @public
 */
export function fenceKey(duty: string): string {
    return `fence/${duty}`;
}

/** Size of the fence range of one era of the store: far more than the takeovers of a duty within one era. */
const fencesPerEra = 1_000_000_000;

/**
 * Returns a lower bound, exclusive, for the fences issued in an era of the store. A store restored from a copy may lack
 * the last fences of the previous era, which must not be issued again.
 *
 * @internal
 */
export function fenceFloor(era: number): number {
    return era * fencesPerEra;
}

/**
 * The key of the term row, which exists while a fence is the newest one of its duty. A store restored from a copy may
 * assign a version of the lease row a second time, but this key is used only once.
 *
 * @internal
 */
export function termKey(duty: string, fence: number): string {
    return `term/${duty}/${fence}`;
}

const fenceValueSchema = z.object({ fence: z.number().int().nonnegative() });

/**
 * Reads the value of a fence row.
 *
 * @returns The fence; 0 if no process has ever held the duty; undefined if the row has no valid fence.
 * @internal
 */
export function parseFence(row: Row): number | undefined {
    return row.version === 0 ? 0 : fenceValueSchema.safeParse(row.value).data?.fence;
}

/**
 * Reads the value of a lease row.
 *
 * @returns The value, or undefined if the row does not exist or is not a valid lease.
 * @internal
 */
export function parseLease(row: Row): LeaseValue | undefined {
    return row.version === 0 ? undefined : leaseValueSchema.safeParse(row.value).data;
}

/**
 * Reads the fence that an agent must know before it accepts an order of a duty. The row contains a fence before its
 * holder learns that it has the lease, so the result is at least as high as the fence of every order sent so far.
 *
 * A read may be stale, so a transaction without writes confirms that the row has not changed.
 *
 * @param store - The table service.
 * @param duty - The duty that sends orders to the agent's target; see {@link ordersDuty}.
 * @returns The fence, or 0 if no process has ever held the duty. On a failure, which is `conditionFailed` for a stale
 * read, the caller must keep refusing orders and retry.
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
 * Returns the name of the only duty that sends orders to the targets of a data centre. Fences of two duties cannot be
 * compared, so a target accepts orders from exactly one.
 *
 * @public
 */
export function ordersDuty(dataCentre: string): string {
    return `orders/${dataCentre}`;
}
