import { type ObjectStore, type TableStore } from "@waxwingspar/stores";
import { type Clock, type Outcome, sleep, uniqueId } from "@waxwingspar/utils";
import { ArchiveIndex } from "./ArchiveIndex.js";
import { encodeArchive, indexName } from "./archives.js";
import { type ClaimRecord } from "./ClaimRecord.js";
import { type PartitionLog } from "./PartitionLog.js";
import { type Archive, type Base, partitionPrefix, segmentNumber } from "./partitionRows.js";

/**
 * Options of an {@link Archiver}.
 *
 * @internal
 */
export interface ArchiverOptions {
    readonly log: PartitionLog;
    readonly partition: number;
    readonly table: TableStore;
    readonly objects: ObjectStore;
    readonly clock: Clock;
    readonly pace: () => number;
    readonly archiveAfter: number;
}

/** Maximum number of rows deleted in one transaction. */
const rowsPerDeletion = 100;

/**
 * Moves the records of old segments to an archive in the object store, discards archives whose claims have all expired,
 * and deletes rows and objects that are no longer needed. Any step may fail or be interrupted; a later run, by any
 * owner, resumes the work.
 *
 * @internal
 */
export class Archiver {
    private running = false;

    constructor(private readonly options: ArchiverOptions) {}

    /** Archives the segments once there are enough of them. Claims may be appended concurrently. */
    async run(): Promise<void> {
        const { log, archiveAfter } = this.options;
        if (this.running || log.nextSegment - log.base.base.first < archiveAfter) {
            return;
        }
        this.running = true;
        await this.archiveAndDelete();
        this.running = false;
    }

    private async archiveAndDelete(): Promise<void> {
        const { log } = this.options;
        const archived = await this.archive();
        if (archived) {
            log.state.forgetExpired();
            await this.deleteArchives();
            await this.deleteSegments();
        }
    }

    private async archive(): Promise<boolean> {
        const { log, objects, partition } = this.options;
        const from = log.base;
        const last = log.state.lastSegment;
        const records = log.state.recent();
        const index = ArchiveIndex.of(records.map(({ keyHash }) => keyHash));
        const name = `${partitionPrefix(partition)}${last}-${uniqueId()}`;
        const put = await this.write(() => objects.put(name, encodeArchive(records)));
        const putIndex = await this.write(() => objects.put(indexName(name), index.encode()));
        if (put.isErr || putIndex.isErr) {
            return false;
        }
        const base = this.nextBase(from.base, { name, last, expiry: latestExpiry(records) });
        const replaced = await this.write(() => log.replaceBase(from, base, new Map([[name, index]])));
        // If this fails, the objects must not be deleted: a delayed write of the base row may still refer to them.
        return replaced.isOk;
    }

    private nextBase(base: Base, archive: Archive): Base {
        const time = this.options.log.state.time.now();
        const expired = base.archives.filter(({ expiry }) => expiry < time);
        return {
            first: archive.last + 1,
            time,
            archives: [...base.archives.filter(({ expiry }) => expiry >= time), archive],
            discarded: [...base.discarded, ...expired.map(({ name }) => name)],
        };
    }

    /** Deletes discarded archives and removes the deleted ones from the list. */
    private async deleteArchives(): Promise<void> {
        const { log, objects } = this.options;
        const from = log.base;
        const deleted = new Set<string>();
        for (const name of from.base.discarded) {
            const outcome = await this.write(() => objects.delete(name));
            const index = await this.write(() => objects.delete(indexName(name)));
            if (outcome.isOk && index.isOk) {
                deleted.add(name);
            }
        }
        if (deleted.size > 0) {
            const discarded = from.base.discarded.filter(name => !deleted.has(name));
            await this.write(() => log.replaceBase(from, { ...from.base, discarded }, new Map()));
        }
    }

    /** Deletes all archived segments, including those that an earlier owner failed to delete. */
    private async deleteSegments(): Promise<void> {
        const { table, partition, log } = this.options;
        for (;;) {
            const page = await table.scan(partitionPrefix(partition), "", rowsPerDeletion);
            const rows = page.unwrapOr([]).filter(({ key }) => {
                return (segmentNumber(partition, key) ?? Infinity) < log.base.base.first;
            });
            if (rows.length === 0) {
                return;
            }
            const outcome = await this.write(() => log.deleteRows(rows.map(({ key }) => key)));
            if (outcome.isErr) {
                return;
            }
        }
    }

    private async write<T>(send: () => Promise<Outcome<T>>): Promise<Outcome<T>> {
        const wait = this.options.pace();
        if (wait > 0) {
            await sleep(this.options.clock, wait);
        }
        return send();
    }
}

function latestExpiry(records: readonly ClaimRecord[]): number {
    return records.reduce((latest, { expiry }) => Math.max(latest, expiry), 0);
}
