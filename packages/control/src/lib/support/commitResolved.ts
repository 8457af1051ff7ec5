import { type TableStore, type Transaction } from "@waxwingspar/stores";
import { type Outcome, platformCodes } from "@waxwingspar/utils";
import { Result } from "true-myth";

/**
 * Commits a transaction and, when the answer was lost, asks for the result by the write id instead of writing again: a
 * repeat of a conditional write that took effect would look like a conflict.
 *
 * @returns The versions written; `storeUnknown` if the result could not be learned either.
 * @internal
 */
export async function commitResolved(
    store: TableStore,
    transaction: Transaction,
): Promise<Outcome<Record<string, number>>> {
    const written = await store.commit(transaction);
    if (written.isOk || written.error.code !== platformCodes.storeUnknown) {
        return written;
    }
    const found = await store.findCommit(transaction.writeId);
    if (found.isErr || found.value === undefined) {
        return Result.err(written.error);
    }
    return Result.ok(found.value);
}
