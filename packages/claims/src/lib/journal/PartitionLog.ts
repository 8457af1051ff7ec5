import { type ObjectStore, type Row, type TableStore } from "@waxwingspar/stores";
import { type Clock, type Failure, failure, type Outcome, platformCodes, uniqueId } from "@waxwingspar/utils";
import { Result } from "true-myth";
import { type ArchiveIndex } from "./ArchiveIndex.js";
import { loadIndexes, loadRecords } from "./archives.js";
import { type ClaimRecord, packRecords, unpackRecords } from "./ClaimRecord.js";
import { DisplacedClaims } from "./DisplacedClaims.js";
import {
    type Archive,
    type Base,
    baseKey,
    baseSchema,
    partitionPrefix,
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

/**
 * The chain of segments of one partition, as one owner sees it. A segment can be written only by an owner that has
 * read all segments before it.
 *
 * @internal
 */
export class PartitionLog {
    readonly state: PartitionState;
    private readonly options: PartitionLogOptions;
    private known = emptyBase;
    private readonly recent = new RecentSegments();
    /** Set while a write has failed on its conditions, and nothing that was read explains it. */
    private isInDoubt = false;
    private readonly displaced = new DisplacedClaims();

    constructor(options: PartitionLogOptions) {
        this.options = options;
        this.state = new PartitionState(options.clock, `p${options.partition}`);
    }

    /** The base row as last read. */
    get base(): VersionedBase {
        return this.known;
    }

    /** The number of the next segment. */
    get nextSegment(): number {
        return this.state.lastSegment + 1;
    }

    /**
     * Reads what other owners have written since. It reads on until a page shows the base row unchanged, so that it does
     * not miss segments that are archived meanwhile.
     *
     * @returns The write ids of the segments that were read.
     */
    async refresh(): Promise<Outcome<string[]>> {
        const read = await this.readOn();
        if (read.isErr || !this.isInDoubt) {
            return read;
        }
        this.isInDoubt = false;
        if (read.value.length > 0) {
            return read;
        }
        const restored = await this.restoreLost();
        return restored.isErr ? Result.err(restored.error) : this.readOn();
    }

    private async readOn(): Promise<Outcome<string[]>> {
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
     * Writes the next segment. When it succeeds the records are part of the state; when the answer is lost,
     * {@link PartitionLog.refresh} shows what became of it.
     */
    async append(writeId: string, records: readonly ClaimRecord[]): Promise<Outcome<void>> {
        const { table, partition } = this.options;
        const number = this.nextSegment;
        const time = this.state.time.now();
        const segment: Segment = { writeId, time, block: packRecords(records) };
        const key = segmentKey(partition, number);
        const outcome = await table.commit({
            writeId,
            conditions: [
                { key, version: 0 },
                { key: baseKey(partition), version: this.known.version },
                ...this.conditionsOn(this.recent.from(this.known.base.first).at(-1)),
            ],
            writes: [{ key, value: segment }],
        });
        if (outcome.isOk) {
            this.state.applySegment(number, time, records);
            this.recent.put({ number, version: outcome.value[key] ?? 0, segment });
        }
        this.isInDoubt = outcome.isErr && outcome.error.code === platformCodes.conditionFailed;
        return outcome.map(() => undefined);
    }

    /**
     * A store that came back from a copy lacks the newest segments. A segment written behind the gap would be hidden from other
     * owners, which then claim lost keys for other runners; so each is written on condition that the one before it is there.
     */
    private conditionsOn(before: KnownSegment | undefined): { readonly key: string; readonly version: number; }[] {
        return before === undefined
            ? []
            : [{ key: segmentKey(this.options.partition, before.number), version: before.version }];
    }

    /** Writes the segments again that the store has lost; where others stand in their place, everything is read anew. */
    private async restoreLost(): Promise<Outcome<void>> {
        const { partition } = this.options;
        const recent = this.recent.from(this.known.base.first);
        const scanned = await this.scanFrom(recent[0]?.number ?? this.nextSegment);
        if (scanned.isErr) {
            return Result.err(scanned.error);
        }
        const rows = new Map(scanned.value.map(row => [row.key, row]));
        if ((rows.get(baseKey(partition))?.version ?? 0) !== this.known.version) {
            this.readAnew();
            return Result.ok<void, never>(undefined);
        }
        const missing: KnownSegment[] = [];
        for (const known of recent) {
            const row = rows.get(segmentKey(partition, known.number));
            if (row === undefined) {
                missing.push(known);
            }
            else if (!holds(row, known)) {
                this.readAnew();
                return Result.ok<void, never>(undefined);
            }
            else {
                this.recent.put({ ...known, version: row.version });
            }
        }
        return this.writeAgain(missing);
    }

    /** All rows from a segment on, and the base row. */
    private async scanFrom(number: number): Promise<Outcome<Row[]>> {
        const { table, partition, pageSize } = this.options;
        const rows: Row[] = [];
        for (;;) {
            const after = rows.at(-1)?.key ?? segmentKey(partition, number - 1);
            const page = await table.scan(partitionPrefix(partition), after, pageSize);
            if (page.isErr) {
                return Result.err(page.error);
            }
            rows.push(...page.value);
            if (page.value.length < pageSize) {
                return Result.ok(rows);
            }
        }
    }

    /** Writes them one after the other, so that no transaction grows with what was lost, and what is there is always a chain. */
    private async writeAgain(missing: readonly KnownSegment[]): Promise<Outcome<void>> {
        const { table, partition } = this.options;
        for (const { number, segment } of missing) {
            const key = segmentKey(partition, number);
            const outcome = await table.commit({
                writeId: uniqueId(),
                conditions: [{ key, version: 0 }, { key: baseKey(partition), version: this.known.version }],
                writes: [{ key, value: segment }],
            });
            if (outcome.isErr) {
                this.isInDoubt = true;
                return Result.err(outcome.error);
            }
            this.recent.put({ number, segment, version: outcome.value[key] ?? 0 });
        }
        return Result.ok<void, never>(undefined);
    }

    private readAnew(): void {
        this.displaced.add(this.recent.from(1).flatMap(({ segment }) => unpackRecords(segment.block)));
        this.recent.clear();
        this.state.clear();
        this.known = emptyBase;
    }

    /** Claims that a copy of the store lacks, and that are to be appended: so many at most. */
    nextDisplaced(most: number): readonly ClaimRecord[] {
        return this.displaced.next(this.state, most);
    }

    /** Reads from an archive what it holds of some keys. */
    async reveal(archive: Archive, keyHashes: readonly string[]): Promise<Outcome<void>> {
        const records = await loadRecords(this.options.objects, archive.name);
        if (records.isErr) {
            return Result.err(records.error);
        }
        const byKey = new Map(records.value.map(record => [record.keyHash, record]));
        keyHashes.forEach(keyHash => this.state.reveal(archive, keyHash, byKey.get(keyHash)));
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
        const { table, partition } = this.options;
        const key = baseKey(partition);
        const outcome = await table.commit({
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
        const missing = base.archives.map(({ name }) => name).filter(name => !this.state.hasIndex(name));
        const loaded = await loadIndexes(this.options.objects, missing);
        if (loaded.isErr) {
            return Result.err(loaded.error);
        }
        return this.adopt(row.version, base, loaded.value)
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

function holds({ value, key }: Row, { segment }: KnownSegment): boolean {
    const read = readValue(segmentSchema, value, key);
    return read.isOk && read.value.writeId === segment.writeId;
}
