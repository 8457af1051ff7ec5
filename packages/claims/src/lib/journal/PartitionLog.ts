import { type ObjectStore, type Row, type TableStore, type Transaction } from "@waxwingspar/stores";
import { type Clock, type Failure, failure, type Outcome, platformCodes, uniqueId } from "@waxwingspar/utils";
import { Result } from "true-myth";
import { type ReportedClaim } from "../reclaim/ClaimReport.js";
import { firstGeneration } from "../reclaim/generations.js";
import { RecoveredEra } from "../reclaim/SettledEra.js";
import { ArchiveIndex } from "./ArchiveIndex.js";
import { loadIndexes, loadRecords } from "./archives.js";
import { type ClaimRecord, packRecords, unpackRecords } from "./ClaimRecord.js";
import { LostClaims } from "./DisplacedClaims.js";
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
    /** Rows asked for in one scan. */
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
    /** Whether all claims that the store lost are written again with this segment. */
    readonly marksRecovered?: boolean;
}

/**
 * The chain of segments of one partition, as one owner sees it. A segment can be written only by an owner that has
 * read all segments before it, in the era of the store that the partition was settled in.
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
     * False while claims may be missing that the store had acknowledged, or claims be there that were never granted: nothing may be
     * granted or told then.
     */
    get isRecovered(): boolean {
        return this.recoveredEra.isCurrent && this.recoveredEra.wasRecovered;
    }

    /** The claims that this owner knows to be granted and that a copy of the store may lack. */
    get reports(): readonly ReportedClaim[] {
        const granted = this.granted().map((record): ReportedClaim => ({ ...record, state: "granted" }));
        return [...this.lostClaims.reports, ...granted];
    }

    /**
     * Reads what other owners have written since, or everything where the store has come back from a copy. It reads on until a
     * page shows the base row unchanged, so that it does not miss segments that are archived meanwhile.
     *
     * @returns The write ids of the segments that were read.
     */
    async refresh(): Promise<Outcome<string[]>> {
        for (;;) {
            this.advanceEra();
            // Read first, so that all segments that it speaks of are among those read after it.
            const marker = await this.recoveredEra.read();
            if (marker.isErr) {
                return Result.err(marker.error);
            }
            const read = await this.readSegments();
            if (read.isErr) {
                return read;
            }
            // Answers of two eras do not fit together.
            if (this.recoveredEra.isCurrent) {
                this.recoveredEra.use(marker.value);
                return read;
            }
        }
    }

    /** What was read in an earlier era is read anew; what was granted in it is kept, to be written again if it is lost. */
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
     * The records of recent segments, of each key the last. While the partition was not settled, its rows may hold claims that were
     * never granted.
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
                // An old copy of the rows; the conditions of the next write will tell.
                return Result.ok(writeIds);
            }
        }
        return Result.err(more.error);
    }

    /**
     * Writes the next segment. When it succeeds the records are part of the state; when the answer is lost, or tells of a
     * new era, {@link PartitionLog.refresh} shows what became of it.
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
     * A store that came back from a copy lacks the newest segments. A segment written behind the gap would be hidden from other
     * owners, which then claim lost keys for other runners; so each is written on condition that the one before it is there.
     */
    private previousSegmentConditions(
        before: KnownSegment | undefined,
    ): { readonly key: string; readonly version: number; }[] {
        return before === undefined
            ? []
            : [{ key: segmentKey(this.options.partition, before.number), version: before.version }];
    }

    /** Adds claims that processes know of an earlier era of the store. */
    addReports(reports: readonly ReportedClaim[]): void {
        this.lostClaims.addReports(reports);
    }

    /** Claims that a copy of the store lacks, and that are to be appended: so many at most. */
    nextLost(limit: number): readonly ClaimRecord[] {
        return this.lostClaims.next(this.state, limit);
    }

    /** Forgets what processes knew of earlier eras, once the store holds it. */
    clearLost(): void {
        this.lostClaims.clear();
    }

    /** Reads what archives hold of the keys that displaced claims may be written again for. */
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

    /** Reads from an archive what it holds of some keys. */
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
     * Replaces the base row, on condition that nobody else has.
     *
     * @param from - The base row from which the new one was made. It need not be the last that was read: another owner's
     * may have been read since, and must not be overwritten.
     * @param indexes - The indexes of the archives that the new one adds.
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
     * Deletes rows of segments that the base row says are archived. A store that came back from a copy may hold another base row and
     * new segments under the same numbers; none of those is deleted.
     */
    async deleteRows(keys: readonly string[]): Promise<Outcome<void>> {
        const outcome = await this.recoveredEra.commit({
            writeId: uniqueId(),
            conditions: [{ key: baseKey(this.options.partition), version: this.known.version }],
            writes: keys.map(key => ({ key })),
        });
        return outcome.map(() => undefined);
    }

    /** Takes over a base row unless a newer one is known; false if the index of one of its archives is missing. */
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

    /** Reads the base row by itself, and says whether it had changed. */
    private async readBase(): Promise<Outcome<boolean>> {
        const row = await this.options.table.get(baseKey(this.options.partition));
        return row.isErr ? Result.err(row.error) : this.adoptBase(row.value);
    }

    /** Takes over a base row if it is newer, with the archives that are not known yet. */
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
        // A base row that came back with a copy may name archives that were deleted once all their claims had expired.
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
            : Result.err(failure(platformCodes.storeUnknown, "the archives changed while they were read"));
    }

    /** Reads a page of segments and tells how to go on. The base row sorts after the segments. */
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
