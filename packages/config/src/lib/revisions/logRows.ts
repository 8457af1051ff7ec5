import { type Head } from "./LogEntry.js";

/** The key of the row that counts revisions. @public */
export const headKey = "config/head";

/** @internal */
export const logPrefix = "config/log/";
/** @internal */
export const resourcePrefix = "config/resource/";

const revisionDigits = 16;

/** The head row with the version that a conditional write needs. @internal */
export interface HeadRow extends Head {
    readonly version: number;
}

/** The row key of a log entry. Padded, so that keys sort as revisions do. @internal */
export function logKey(revision: number): string {
    return logPrefix + revision.toString().padStart(revisionDigits, "0");
}

/** The row key of a resource. @internal */
export function resourceRowKey(key: string): string {
    return resourcePrefix + key;
}
