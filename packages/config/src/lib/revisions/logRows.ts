import { type Head } from "./LogEntry.js";

/** The key of the head row, which holds the newest revision. @public */
export const headKey = "config/head";

/** @internal */
export const logPrefix = "config/log/";
/** @internal */
export const resourcePrefix = "config/resource/";

const revisionDigits = 16;

/** The head row with the row version that conditional writes require. @internal */
export interface HeadRow extends Head {
    readonly version: number;
}

/** The row key of a log entry. The revision is zero-padded so that keys sort in revision order. @internal */
export function logKey(revision: number): string {
    return logPrefix + revision.toString().padStart(revisionDigits, "0");
}

/** The row key of a resource. @internal */
export function resourceRowKey(key: string): string {
    return resourcePrefix + key;
}
