import { type ReplyProgress } from "./Store.js";

/** A history of changes with more than this number of times the bytes of the table is not read. */
const maxRatio = 2;
/** Bytes of a history that is read in any case: reading the table costs a call more. */
const minBytes = 262_144;

/** Determines up to which size the changes of a table are read: beyond it, reading the whole table is cheaper. */
export class HistoryLimit {
    /** Bytes that a read of the table takes, at least, as far as known; undefined if replies are not measured. */
    private tableBytes: number | undefined;

    /** The limit in bytes; undefined if there is none. */
    get maxBytes(): number | undefined {
        return this.tableBytes === undefined ? undefined : Math.max(minBytes, maxRatio * this.tableBytes);
    }

    /** Records the size of the whole table. */
    noteTable(progress: ReplyProgress | undefined): void {
        this.tableBytes = progress?.bytes;
    }

    /** Records the size of a number of changes; the table holds at least one row of their mean size. */
    noteChanges(progress: ReplyProgress | undefined, count: number): void {
        if (progress !== undefined) {
            this.tableBytes = Math.max(this.tableBytes ?? 0, progress.bytes / count);
        }
    }
}
