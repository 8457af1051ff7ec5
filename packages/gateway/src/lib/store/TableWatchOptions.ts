import { type Clock, type Random } from "@waxwingspar/utils";
import { type Moment } from "../Moment.js";
import { type ReplyProgress, type RowChange, type Store, type StoredRow } from "./Store.js";
import { type StoreEras } from "./StoreEras.js";
import { type SharedWatchLimits } from "./watchWait.js";

/** The state of a table as one gateway knows it. Gateways send it to each other in heartbeats. */
export interface TableStatus {
    /** The store version at which the table last changed. */
    readonly version: number;
    /** The store version up to which the sender has seen all changes. */
    readonly seen: number;
    /** Milliseconds since the latest moment at which the table was confirmed to be in this state. */
    readonly age: number;
    /** The store era that the versions belong to; undefined if the store reports none. */
    readonly era?: number;
    /** Whether the sender is receiving rows from the store, so that the table may have changed. */
    readonly pending?: boolean;
}

/**
 * How a process follows the store: "alone" polls for itself only, "leader" polls for its followers as well, and
 * "follower" uses what its peers report instead of polling.
 */
export type WatchRole = "alone" | "leader" | "follower";

/** How rows of a table reached this process. */
export interface TableDelivery {
    readonly source: "store" | "peer";
    /** Undefined if the source does not measure its calls. */
    readonly progress: ReplyProgress | undefined;
    /** The copy as a peer sent it; undefined if the rows came from the store. */
    readonly encoded?: Buffer;
    /** Milliseconds since this process learned that the rows exist. */
    readonly knownFor: number;
}

/** The rows of a table as a peer handed them on. */
export interface PeerSnapshot {
    readonly rows: readonly StoredRow[];
    /** The store version at which the table last changed. */
    readonly version: number;
    readonly encoded: Buffer;
    readonly progress: ReplyProgress;
}

/** Options of {@link TableWatch}. */
export interface TableWatchOptions {
    readonly clock: Clock;
    readonly store: Store;
    readonly table: string;
    /** Milliseconds that one long-poll call waits for changes. */
    readonly wait: number;
    /**
     * Receives all rows of the table. Rows that are missing were removed; before `graceEnd` on the clock they may still
     * be written again. A promise is awaited before the next call. `isRestored` means that the store was restored from an older copy, so the rows may be older
     * than those known here.
     */
    readonly onSnapshot: (
        rows: readonly StoredRow[],
        graceEnd: number,
        isRestored: boolean,
        delivery: TableDelivery,
    ) => unknown;
    /** Receives changes in the order in which they were made. The next call follows when they have been applied. */
    readonly onChanges: (
        changes: readonly RowChange[],
        graceEnd: number,
        delivery: TableDelivery,
    ) => unknown;
    /** The state of the table was confirmed at some time after the given moment, which increases between calls. */
    readonly onConfirmed?: (after: Moment) => void;
    /** Tracks the store's eras; undefined if the store has none. */
    readonly eras?: StoreEras;
    /** The table was read again, `doubt` milliseconds after a restore of the store from a copy was detected. */
    readonly onRestored?: (doubt: number) => void;
    /**
     * Maximum age in milliseconds of the last confirmation while the store answers. Calls wait less if it would be
     * exceeded otherwise. Undefined if there is no maximum.
     */
    readonly maxConfirmationAge?: number;
    /** Limits for sharing the watch with peers; undefined if this process always polls the store itself. */
    readonly sharedWatch?: SharedWatchLimits;
    /**
     * Reads the table from a peer that has at least a version; undefined if none gives it. The store is asked then.
     */
    readonly readFromPeers?: (version: number) => Promise<PeerSnapshot | undefined>;
    /**
     * Whether a follower waits for rows that a peer is receiving, however old its last confirmation is, instead of
     * asking the store for the same rows.
     */
    readonly waitsForPeers?: boolean;
    /** The current role of this process. */
    readonly role?: () => WatchRole;
    /** A call failed after `waited` milliseconds, and the one before it had succeeded. */
    readonly onLost?: (reason: string, waited: number) => void;
    /**
     * The store answers again, `outage` milliseconds after the first failure was noticed and `sinceFailure`
     * milliseconds after the last failed call was sent.
     */
    readonly onRegained?: (outage: number, sinceFailure: number) => void;
    /** Peers' confirmations are too old, the last one `age` milliseconds: this process polls the store itself. */
    readonly onPeersStale?: (age: number) => void;
    /** Bounds of the milliseconds from sending a failed call to sending the next one: see {@link CallBackOff}. */
    readonly retryDelay?: number;
    readonly maxRetryDelay?: number;
    readonly random?: Random;
    /**
     * Milliseconds after an outage or a restore within which writers write lost rows again. The platform documents
     * about two seconds for rows that expired during an outage.
     */
    readonly rewriteTime?: number;
    /**
     * Upper bound for that wait, in milliseconds after the last failed call was sent: the outage may have ended right
     * after the call was sent, however late its end was noticed.
     */
    readonly rewriteBound?: number;
    /** Milliseconds for which changes in quick succession are collected, for example when a site starts. */
    readonly batchDelay?: number;
}

type OptionalName =
    | "onConfirmed"
    | "onLost"
    | "onRegained"
    | "onPeersStale"
    | "onRestored"
    | "maxConfirmationAge"
    | "readFromPeers"
    | "waitsForPeers"
    | "sharedWatch"
    | "role"
    | "eras"
    | "random";

/** Defaults of {@link TableWatchOptions}. */
export const tableWatchDefaults = {
    retryDelay: 200,
    maxRetryDelay: 800,
    rewriteTime: 2_050,
    rewriteBound: 2_950,
    batchDelay: 250,
};

/** {@link TableWatchOptions} with their defaults. */
export type CompleteTableWatchOptions = Required<Omit<TableWatchOptions, OptionalName>> & TableWatchOptions;
