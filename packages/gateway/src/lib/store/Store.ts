/**
 * The interface through which the gateway uses the platform's table store. Row values are JSON documents.
 */

/** One row. `version` comes from a counter that grows with every transaction of the store. */
export interface StoredRow {
    readonly key: string;
    readonly value: unknown;
    readonly version: number;
}

/** How much of a reply has arrived, and when. */
export interface ReplyProgress {
    /** Bytes of the reply's body. */
    readonly bytes: number;
    /** Milliseconds from sending the call to the head of the reply; undefined if none arrived. */
    readonly headAfter: number | undefined;
    /** Milliseconds from sending the call to its end. */
    readonly duration: number;
}

/** Fields that any reply of the store may have. */
export interface StoreAnswer {
    /** Undefined if the store does not measure its calls. */
    readonly progress?: ReplyProgress;
    /**
     * Increases each time the store is restored from an older copy of itself: writes made after the copy are lost, and
     * their versions are assigned again. Undefined if the store does not report it, or did not reply.
     */
    readonly era?: number;
}

/** The rows of a table at one moment. */
export interface TableSnapshot extends StoreAnswer {
    readonly rows: readonly StoredRow[];
    /** The newest version of the store at that moment. */
    readonly version: number;
}

/** A row that was written or removed. A key may occur several times, with the newest change last. */
export interface RowChange {
    readonly key: string;
    /** Undefined when the row was removed. */
    readonly row: StoredRow | undefined;
}

/** The changes of a table after a given version. */
export interface TableChanges extends StoreAnswer {
    /** In the order in which they were made. */
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

/** The result of a call that failed. */
export type StoreFailure =
    & StoreAnswer
    & (
        /** Nothing was executed: the store refused the call or was not reached. */
        | { readonly kind: "unavailable"; readonly reason: string; }
        /** No reply: a write may have been executed, or may still be executed later. */
        | { readonly kind: "unknown"; readonly reason: string; }
        /** The store no longer keeps the requested changes; the whole table must be read. */
        | { readonly kind: "historyGone"; }
        /** The changes have more bytes than the caller takes; reading the whole table is cheaper. */
        | { readonly kind: "historyTooLong"; }
    );

/** The result of a conditional write. */
export type WriteResult =
    | ({ readonly kind: "written"; readonly version: number; } & StoreAnswer)
    | ({ readonly kind: "conflict"; readonly rows: readonly StoredRow[]; } & StoreAnswer)
    | StoreFailure;

/** Milliseconds after the end of its wait at which the reply to a call for changes must have begun. @public */
export const watchSlack = 700;
/** Milliseconds without progress after which a reply that has begun is given up. @public */
export const replyStall = 700;

/** Options of a call that reads rows. */
export interface ReadOptions {
    /** Size in bytes up to which the reply to a call for changes is read. */
    readonly maxBytes?: number;
    /** Called when the reply begins to arrive. */
    readonly onBegin?: () => void;
}

/** The platform's table store. @public */
export interface Store {
    read(table: string, options?: ReadOptions): Promise<({ readonly kind: "read"; } & TableSnapshot) | StoreFailure>;
    /**
     * Waits up to `wait` milliseconds for changes after a version. Settles within {@link watchSlack} more, or within
     * {@link replyStall} of the last progress of a reply that has begun.
     */
    watch(
        table: string,
        after: number,
        wait: number,
        options?: ReadOptions,
    ): Promise<({ readonly kind: "changes"; } & TableChanges) | StoreFailure>;
    write(write: ConditionalWrite): Promise<WriteResult>;
}
