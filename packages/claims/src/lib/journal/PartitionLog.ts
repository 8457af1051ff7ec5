import { type ObjectStore, type Row, type TableStore, type Transaction } from "@waxwingspar/stores";
import { type Clock, type Failure, failure, type Outcome, platformCodes, uniqueId } from "@waxwingspar/utils";
import { Result } from "true-myth";
import { type ReportedClaim } from "../recovery/ClaimReport.js";
import { firstGeneration } from "../recovery/generations.js";
import { RecoveredEra } from "../recovery/RecoveredEra.js";
import { ArchiveIndex } from "./ArchiveIndex.js";
import { loadIndexes, loadRecords } from "./archives.js";
import { type ClaimRecord, packRecords, unpackRecords } from "./ClaimRecord.js";
import { LostClaims } from "./LostClaims.js";
import {
    type Archive,
    type Base,
    baseKey,
    baseSchema,
    partitionPrefix,
    recoveryMarkerPrefix,
    type Segment,
    segmentKey,
    segmentNumber,
    segmentSchema,
} from "./partitionRows.js";
import { PartitionState } from "./PartitionState.js";
import { readValue } from "./readValue.js";
import { type KnownSegment, RecentSegments } from "./RecentSegments.js";

/**
 * Options of a {@link PartitionLog}.
 *
 * @internal
 */
export interface PartitionLogOptions {
    readonly partition: number;
    readonly table: TableStore;
    readonly objects: ObjectStore;
    readonly clock: Clock;
    /** Maximum number of rows requested in one scan. */
    readonly pageSize: number;
}

/**
 * A base row with its version; version 0 before the first archive.
 *
 * @internal
 */
export interface VersionedBase {
    readonly version: number;
    readonly base: Base;
}

const emptyBase: VersionedBase = { version: 0, base: { first: 1, time: 0, archives: [], discarded: [] } };

/** How a segment is appended. */
interface AppendOptions {
    /** Whether this segment completes the recovery of lost claims. */
    readonly marksRecovered?: boolean;
}

/**
 * The chain of segments of one partition, as one owner sees it. A segment can be written only by an owner that has read
 * all segments before it, in the same era of the store in which the partition's lost claims were recovered.
 *
 * @internal
 */
export class PartitionLog {
    readonly state: PartitionState;
    private readonly options: PartitionLogOptions;
    private known = emptyBase;
    private readonly recent = new RecentSegments();
    private readonly lostClaims = new LostClaims();
    private readonly recoveredEra: RecoveredEra;

    constructor(options: PartitionLogOptions) {
        this.options = options;
        this.recoveredEra = new RecoveredEra(options.table, recoveryMarkerPrefix(options.partition));
        this.state = new PartitionState(options.clock, `p${options.partition}`);
        this.state.firstGeneration = firstGeneration(this.era);
    }

    /** The base row as last read. */
    get base(): VersionedBase {
        return this.known;
    }

    /** The number of the next segment. */
    get nextSegment(): number {
        return this.state.lastSegment + 1;
    }

    /** The era of the store in which the partition was read. */
    get era(): number {
        return this.recoveredEra.era;
    }

    /**
     * False while the store may lack claims that it acknowledged, or hold claims that were never granted. No claim may
     * be granted or returned then.
     */
    get isRecovered(): boolean {
        return this.recoveredEra.isCurrent && this.recoveredEra.wasRecovered;
    }

    /** The granted claims that this owner knows and that a copy of the store may lack. */
    get reports(): readonly ReportedClaim[] {
        const granted = this.granted().map((record): ReportedClaim => ({ ...record, state: "granted" }));
        return [...this.lostClaims.reports, ...granted];
    }

    /**
     * Reads the segments that other owners have written since, or the whole partition if the store was restored from a
     * copy. Reading continues until a page shows the base row unchanged, so that segments archived during the read are
     * not missed.
     *
     * @returns The write ids of the segments that were read.
     */
    async refresh(): Promise<Outcome<string[]>> {
        for (;;) {
            this.advanceEra();
            // The marker is read first, so that all segments written before it are among those read next.
            const marker = await this.recoveredEra.read();
            if (marker.isErr) {
                return Result.err(marker.error);
            }
            const read = await this.readSegments();
            if (read.isErr) {
                return read;
            }
            // Reads from two eras must not be combined.
            if (this.recoveredEra.isCurrent) {
                this.recoveredEra.use(marker.value);
                return read;
            }
        }
    }

    /**
     * Discards rows read in an earlier era, but keeps the claims granted in it, to write them again if the store lost
     * them.
     */
    private advanceEra(): void {
        if (!this.recoveredEra.isCurrent) {
            this.lostClaims.add(this.granted());
            this.recent.clear();
            this.state.clear();
            this.known = emptyBase;
            this.recoveredEra.advance();
            this.state.firstGeneration = firstGeneration(this.era);
        }
    }

    /**
     * The last record of each key in the recent segments. Empty while the partition was not recovered, since its rows
     * may then hold claims that were never granted.
     */
    private granted(): readonly ClaimRecord[] {
        if (!this.recoveredEra.wasRecovered) {
            return [];
        }
        const records = this.recent.from(1).flatMap(({ segment }) => unpackRecords(segment.block));
        return [...new Map(records.map(record => [record.keyHash, record])).values()];
    }

    private async readSegments(): Promise<Outcome<string[]>> {
        const writeIds: string[] = [];
        let more = this.state.lastSegment > 0 ? Result.ok<boolean, Failure>(true) : await this.readBase();
        while (more.isOk) {
            const page = await this.readPage(writeIds);
            if (page.isErr) {
                return Result.err(page.error);
            }
            if (page.value === "end") {
                return Result.ok(writeIds);
            }
            more = page.value === "gap" ? await this.readBase() : page.map(() => true);
            if (more.isOk && !more.value) {
                // The read was stale; if segments are missing, the conditions of the next write fail.
                return Result.ok(writeIds);
            }
        }
        return Result.err(more.error);
    }

    /**
     * Writes the next segment. If it succeeds, the records become part of the state. If the response is lost or shows a
     * new era, {@link PartitionLog.refresh} finds out whether the segment was written.
     */
    async append(
        writeId: string,
        records: readonly ClaimRecord[],
        { marksRecovered = false }: AppendOptions = {},
    ): Promise<Outcome<void>> {
        const { partition } = this.options;
        const number = this.nextSegment;
        const time = this.state.time.now();
        const segment: Segment = { writeId, time, block: packRecords(records) };
        const key = segmentKey(partition, number);
        const transaction: Transaction = {
            writeId,
            conditions: [
                { key, version: 0 },
                { key: baseKey(partition), version: this.known.version },
                ...this.previousSegmentConditions(this.recent.from(this.known.base.first).at(-1)),
            ],
            writes: [{ key, value: segment }],
        };
        const outcome = marksRecovered
            ? await this.recoveredEra.commitRecovery(transaction)
            : await this.recoveredEra.commit(transaction);
        if (outcome.isOk) {
            this.state.applySegment(number, time, records);
            this.recent.put({ number, version: outcome.value[key] ?? 0, segment });
        }
        return outcome.map(() => undefined);
    }

    /**
     * A store that was restored from a copy lacks the newest segments. Other owners would not see a segment written
     * after the gap and would claim the lost keys for other runners. Each segment is therefore written on condition
     * that the previous one exists.
     */
    private previousSegmentConditions(
        before: KnownSegment | undefined,
    ): { readonly key: string; readonly version: number; }[] {
        return before === undefined
            ? []
            : [{ key: segmentKey(this.options.partition, before.number), version: before.version }];
    }

    /** Adds claims of earlier eras of the store that processes reported. */
    addReports(reports: readonly ReportedClaim[]): void {
        this.lostClaims.addReports(reports);
    }

    /** The next claims, up to a limit, that the restored store lacks and that must be appended. */
    nextLost(limit: number): readonly ClaimRecord[] {
        return this.lostClaims.next(this.state, limit);
    }

    /** Discards the reported claims of earlier eras, once the store holds them. */
    clearLost(): void {
        this.lostClaims.clear();
    }

    /** Loads the archived claims of the keys whose claims may have to be written again. */
    async loadLostFromArchives(): Promise<Outcome<void>> {
        const keyHashes = this.lostClaims.reports.map(({ keyHash }) => keyHash);
        for (const keyHash of keyHashes) {
            for (let archive = this.state.findArchive(keyHash); archive !== undefined;) {
                const outcome = await this.loadArchived(archive, keyHashes);
                if (outcome.isErr) {
                    return outcome;
                }
                archive = this.state.findArchive(keyHash);
            }
        }
        return Result.ok<void, never>(undefined);
    }

    /** Loads the claims of some keys from an archive. */
    async loadArchived(archive: Archive, keyHashes: readonly string[]): Promise<Outcome<void>> {
        const records = await loadRecords(this.options.objects, archive.name);
        if (records.isErr) {
            return Result.err(records.error);
        }
        const byKey = new Map(records.value.map(record => [record.keyHash, record]));
        keyHashes.forEach(keyHash => this.state.applyArchived(archive, keyHash, byKey.get(keyHash)));
        return Result.ok<void, never>(undefined);
    }

    /**
     * Replaces the base row, on condition that no other owner has.
     *
     * @param from - The base row from which the new one was derived. It need not be the one last read: a base row that
     * another owner has written since may have been read, and must not be overwritten.
     * @param indexes - The indexes of the archives that the new base row adds.
     */
    async replaceBase(
        from: VersionedBase,
        base: Base,
        indexes: ReadonlyMap<string, ArchiveIndex>,
    ): Promise<Outcome<void>> {
        const { partition } = this.options;
        const key = baseKey(partition);
        const outcome = await this.recoveredEra.commit({
            writeId: uniqueId(),
            conditions: [{ key, version: from.version }],
            writes: [{ key, value: base }],
        });
        if (outcome.isErr) {
            return Result.err(outcome.error);
        }
        this.adopt(outcome.value[key] ?? 0, base, indexes);
        return Result.ok<void, never>(undefined);
    }

    /**
     * Deletes segments that are archived according to the base row. A store that was restored from a copy may hold
     * another base row and new segments with the same numbers; those are not deleted.
     */
    async deleteRows(keys: readonly string[]): Promise<Outcome<void>> {
        const outcome = await this.recoveredEra.commit({
            writeId: uniqueId(),
            conditions: [{ key: baseKey(this.options.partition), version: this.known.version }],
            writes: keys.map(key => ({ key })),
        });
        return outcome.map(() => undefined);
    }

    /** Adopts a base row unless a newer one is known. Returns false if the index of one of its archives is missing. */
    private adopt(version: number, base: Base, indexes: ReadonlyMap<string, ArchiveIndex>): boolean {
        if (version <= this.known.version) {
            return true;
        }
        const complete = base.archives.every(({ name }) => indexes.has(name) || this.state.hasIndex(name));
        if (complete) {
            this.known = { version, base };
            this.state.adopt(base, indexes);
        }
        return complete;
    }

    /** Reads the base row and returns whether it changed. */
    private async readBase(): Promise<Outcome<boolean>> {
        const row = await this.options.table.get(baseKey(this.options.partition));
        return row.isErr ? Result.err(row.error) : this.adoptBase(row.value);
    }

    /** Adopts a base row if it is newer, and loads the indexes of archives that are not known yet. */
    private async adoptBase(row: Row): Promise<Outcome<boolean>> {
        if (row.version <= this.known.version) {
            return Result.ok(false);
        }
        const read = readValue(baseSchema, row.value, row.key);
        if (read.isErr) {
            return Result.err(read.error);
        }
        const base = read.value;
        this.state.time.observe(base.time);
        const unknown = base.archives.filter(({ name }) => !this.state.hasIndex(name));
        // A base row of a restored copy may name archives that were deleted after all their claims had expired.
        const now = this.state.time.now();
        const expired = unknown.filter(({ expiry }) => expiry < now);
        const needed = unknown.filter(({ expiry }) => expiry >= now);
        const loaded = await loadIndexes(this.options.objects, needed.map(({ name }) => name));
        if (loaded.isErr) {
            return Result.err(loaded.error);
        }
        const empty = expired.map(({ name }) => [name, ArchiveIndex.of([])] as const);
        return this.adopt(row.version, base, new Map([...loaded.value, ...empty]))
            ? Result.ok(true)
            : Result.err(failure(platformCodes.storeUnknown, "the archives changed while their indexes were read"));
    }

    /** Reads a page of segments and returns how to continue. The base row sorts after the segments. */
    private async readPage(writeIds: string[]): Promise<Outcome<"end" | "more" | "gap">> {
        const { table, partition, pageSize } = this.options;
        const after = segmentKey(partition, this.state.lastSegment);
        const page = await table.scan(partitionPrefix(partition), after, pageSize);
        if (page.isErr) {
            return Result.err(page.error);
        }
        if (!this.recoveredEra.isCurrent) {
            return Result.ok("end");
        }
        const applied = this.applyRows(page.value);
        if (applied.isErr) {
            return Result.err(applied.error);
        }
        writeIds.push(...applied.value);
        const base = page.value.find(({ key }) => key === baseKey(partition));
        if (base !== undefined) {
            const adopted = await this.adoptBase(base);
            return adopted.map(changed => changed ? "more" : "end");
        }
        if (page.value.length < pageSize) {
            return Result.ok("end");
        }
        return Result.ok(applied.value.length === 0 ? "gap" : "more");
    }

    /** Applies segments up to the first gap. A gap means that they were archived after the base row was read. */
    private applyRows(rows: readonly Row[]): Outcome<string[]> {
        const writeIds: string[] = [];
        for (const { key, value, version } of rows) {
            if (segmentNumber(this.options.partition, key) !== this.nextSegment) {
                break;
            }
            const segment = readValue(segmentSchema, value, key);
            if (segment.isErr) {
                return Result.err(segment.error);
            }
            const { writeId, time, block } = segment.value;
            this.recent.put({ number: this.nextSegment, version, segment: segment.value });
            this.state.applySegment(this.nextSegment, time, unpackRecords(block));
            writeIds.push(writeId);
        }
        return Result.ok(writeIds);
    }
}
