import { type Outcome } from "@waxwingspar/utils";
import { z } from "zod";

/**
 * A row of the table service.
 *
 * @public
 */
export const rowSchema = z.object({
    key: z.string(),
    /** Any value that JSON can hold; undefined when the row does not exist. */
    value: z.unknown().optional(),
    /** Grows with every change of this row; 0 means that the row does not exist. */
    version: z.number().int(),
});

/**
 * The type of {@link rowSchema}.
 *
 * @public
 */
export type Row = z.infer<typeof rowSchema>;

/**
 * A transaction: when every condition holds, all writes take effect together, otherwise none does.
 *
 * @public
 */
export const transactionSchema = z.object({
    /**
     * Unique for each transaction. The store keeps the ids of recent transactions, so that a caller that lost the
     * response can look up the result instead of writing again.
     */
    writeId: z.string(),
    /** The version that a row must have; 0 means that it must not exist. */
    conditions: z.array(z.object({ key: z.string(), version: z.number().int() })),
    /** An undefined value deletes the row. */
    writes: z.array(z.object({ key: z.string(), value: z.unknown().optional() })),
});

/**
 * The type of {@link transactionSchema}.
 *
 * @public
 */
export type Transaction = z.infer<typeof transactionSchema>;

/**
 * The platform's transactional table service.
 *
 * @public
 */
export interface TableStore {
    /**
     * The newest era reported in a response. It rises each time the service is restored from an older copy of its
     * data: writes made since the copy are lost, and their versions are assigned again. 0 if no restore is known.
     */
    readonly era: number;
    /** Reads one row; version 0 when there is none. */
    get(key: string): Promise<Outcome<Row>>;
    /** Reads rows in key order, from the first key after `after` that starts with `prefix`. */
    scan(prefix: string, after: string, limit: number): Promise<Outcome<Row[]>>;
    /**
     * Commits a transaction.
     *
     * @returns The versions of the rows written, by key. `conditionFailed` if a condition did not hold and
     * `storeUnavailable` if the call was not accepted: nothing was written. `storeUnknown` if the response was lost.
     */
    commit(transaction: Transaction): Promise<Outcome<Record<string, number>>>;
    /** Looks up a transaction by its write id: the versions written, or undefined if it took no effect. */
    findCommit(writeId: string): Promise<Outcome<Record<string, number> | undefined>>;
}
