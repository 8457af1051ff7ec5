/**
 * What the gateway needs of the platform's table store. Row values are JSON documents.
 */

/** One row. `version` comes from a counter that grows with every transaction of the store. */
export interface StoredRow {
    readonly key: string;
    readonly value: unknown;
    readonly version: number;
}

/** What every answer of the store may tell. */
export interface StoreAnswer {
    /**
     * Rises each time that the store has come back from an older copy of itself: what was written since the copy is gone, and its
     * versions are given out again. Undefined where the store does not tell, or gave no answer.
     */
    readonly era?: number;
}

/** The rows of a table at one moment. */
export interface TableSnapshot extends StoreAnswer {
    readonly rows: readonly StoredRow[];
    /** The newest version of the store at that moment. */
    readonly version: number;
}

/** A row that was written or removed. One key may come several times, the newest last. */
export interface RowChange {
    readonly key: string;
    /** Undefined when the row was removed. */
    readonly row: StoredRow | undefined;
}

/** What has changed in a table after some version. */
export interface TableChanges extends StoreAnswer {
    /** In the order in which it happened. */
    readonly changes: readonly RowChange[];
    readonly version: number;
}

/** A write that takes effect only if the row still has the version. */
export interface ConditionalWrite {
    readonly table: string;
    readonly key: string;
    /** Undefined to remove the row. */
    readonly value: unknown;
    /** 0 when the row must not exist yet. */
    readonly expectedVersion: number;
}

/** The result of a call that did not give what was asked for. */
export type StoreFailure =
    & StoreAnswer
    & (
        /** Nothing was done: the store refused, or was never reached. */
        | { readonly kind: "unavailable"; readonly reason: string; }
        /** No reply: a write may have been done, or may still be done later. */
        | { readonly kind: "unknown"; readonly reason: string; }
        /** The history that was asked for is gone; the table must be read anew. */
        | { readonly kind: "historyGone"; }
    );

/** The result of a conditional write. */
export type WriteResult =
    | ({ readonly kind: "written"; readonly version: number; } & StoreAnswer)
    | ({ readonly kind: "conflict"; readonly rows: readonly StoredRow[]; } & StoreAnswer)
    | StoreFailure;

/** Milliseconds beyond its wait after which a call that waits for changes is given up. @public */
export const watchSlack = 700;

/** The platform's table store. @public */
export interface Store {
    read(table: string): Promise<({ readonly kind: "read"; } & TableSnapshot) | StoreFailure>;
    /** Waits up to `wait` milliseconds for changes after a version. Settles within {@link watchSlack} more. */
    watch(
        table: string,
        after: number,
        wait: number,
    ): Promise<({ readonly kind: "changes"; } & TableChanges) | StoreFailure>;
    write(write: ConditionalWrite): Promise<WriteResult>;
}
