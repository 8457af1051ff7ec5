import { type TableStore, type Transaction } from "@waxwingspar/stores";
import { type Outcome, platformCodes } from "@waxwingspar/utils";
import { Result } from "true-myth";

/**
 * Commits a transaction. If the response is lost, looks the result up by the write id instead of writing again, since
 * repeating a conditional write that took effect would report a conflict.
 *
 * @returns The versions written; `storeUnknown` if the lookup did not give the result either.
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
