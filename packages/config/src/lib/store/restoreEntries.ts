import { failure, type Outcome, platformCodes, uniqueId } from "@waxwingspar/utils";
import { Result } from "true-myth";
import { type LogEntry, resourceKey } from "../revisions/LogEntry.js";
import { type HeadRow, resourceRowKey } from "../revisions/logRows.js";
import { type RevisionState } from "../revisions/RevisionState.js";
import { type StoreLog } from "../revisions/StoreLog.js";
import { buildTransaction, unknownRequestDigest } from "./transaction.js";

/**
 * Writes entries that a state has in force and the store's log lacks back to the store, as after the store was restored
 * from an older copy. Nothing is written unless the log is a prefix of the state's log. Restoring fails if another
 * process writes concurrently.
 *
 * @internal
 */
export async function restoreEntries(log: StoreLog, state: RevisionState): Promise<Outcome<void>> {
    for (;;) {
        const head = await log.head();
        if (head.isErr) {
            return Result.err(head.error);
        }
        if (head.value.revision >= state.revision) {
            return Result.ok<void, never>(undefined);
        }
        const [entry] = state.since(head.value.revision, head.value.digest) ?? [];
        if (entry === undefined) {
            return Result.err(
                failure(
                    platformCodes.storeUnavailable,
                    "the store's log is not a prefix of the log in force in this process",
                ),
            );
        }
        const written = await restoreEntry(log, entry, head.value);
        if (written.isErr) {
            return written;
        }
    }
}

async function restoreEntry(log: StoreLog, entry: LogEntry, head: HeadRow): Promise<Outcome<void>> {
    const { revision, writeId } = entry;
    const keys = entry.changes.map(({ kind, name }) => resourceKey(kind, name));
    const rows = await log.resourceRows(keys);
    if (rows.isErr) {
        return Result.err(rows.error);
    }
    const versions = new Map(keys.map(resourceRowKey).map(key => [key, rows.value.get(key)?.version ?? 0]));
    const change = { revision, writeId, asked: unknownRequestDigest, results: [] };
    const transaction = buildTransaction(entry, change, head, versions, []);
    const committed = await log.store.commit({ ...transaction, writeId: uniqueId() });
    return committed.map(() => undefined);
}
