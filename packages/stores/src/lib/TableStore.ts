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
     * Unique for each transaction. The store keeps the ids of recent transactions, so that a caller whose answer was
     * lost can ask for the result instead of writing again.
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
     * The newest era that an answer has told. It rises each time that the service has come back from an older copy of itself: what was
     * written since the copy is gone, and its versions are given out again. 0 while nothing was ever lost, as far as is known.
     */
    readonly era: number;
    /** Reads one row; version 0 when there is none. */
    get(key: string): Promise<Outcome<Row>>;
    /** Reads rows in key order, from the first key after `after` that starts with `prefix`. */
    scan(prefix: string, after: string, limit: number): Promise<Outcome<Row[]>>;
    /**
     * Commits a transaction.
     *
     * @returns The versions of the rows written, by key; `conditionFailed` when nothing was written for that reason,
     * `storeUnavailable` when nothing was written, `storeUnknown` when the answer was lost.
     */
    commit(transaction: Transaction): Promise<Outcome<Record<string, number>>>;
    /** The result of a transaction by its write id: the versions written, or undefined if it took no effect. */
    findCommit(writeId: string): Promise<Outcome<Record<string, number> | undefined>>;
}
