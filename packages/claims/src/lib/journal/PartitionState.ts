import { assert, type Clock } from "@waxwingspar/utils";
import { type Runner } from "../Claims.js";
import { type ArchiveIndex, fingerprint } from "./ArchiveIndex.js";
import { type ClaimRecord, runnerName } from "./ClaimRecord.js";
import { PartitionClock } from "./PartitionClock.js";
import { type Archive, type Base } from "./partitionRows.js";

interface KeptClaim {
    readonly digest: string;
    readonly generation: number;
    readonly runner: Runner;
    readonly expiry: number;
    /**
     * The segment that holds the claim, or the last segment of its archive. It cannot be derived from the generation,
     * since a claim that was written again after the store lost it keeps its generation.
     */
    readonly segment: number;
}

interface IndexedArchive {
    readonly archive: Archive;
    readonly index: ArchiveIndex;
}

/** Milliseconds between two sweeps for expired claims. */
const sweepInterval = 30_000;

/**
 * An owner's view of a partition: every claim up to a segment number. Recent claims are held in memory. Claims that
 * only archives hold are known by their fingerprints, and are loaded when they are requested again.
 *
 * @internal
 */
export class PartitionState {
    readonly time: PartitionClock;
    private readonly claims = new Map<string, KeptClaim>();
    private readonly runners = new Map<string, Runner>();
    private recentKeys: string[] = [];
    /** Newest first. */
    private archives: IndexedArchive[] = [];
    /** Pairs of an archive and a key that is not in it although the key's fingerprint is. */
    private readonly falsePositives = new Set<string>();
    /** All claims of this segment and later ones are held in memory. */
    private loadedFrom = 1;
    private last = 0;
    private nextSweep = 0;
    /** The lowest generation of a claim granted in the current era of the store. */
    firstGeneration = 0;

    /** @param series - The name of the partition's generation series. */
    constructor(clock: Clock, readonly series: string) {
        this.time = new PartitionClock(clock);
    }

    /** The number of the last segment read; all segments before it have been read, too. */
    get lastSegment(): number {
        return this.last;
    }

    /** The number of claims, archived ones included. */
    get size(): number {
        const archived = this.archives.filter(({ archive }) => archive.last < this.loadedFrom);
        return archived.reduce((sum, { index }) => sum + index.size, this.claims.size);
    }

    /** Whether the index of an archive is known. */
    hasIndex(name: string): boolean {
        return this.archives.some(({ archive }) => archive.name === name);
    }

    /** The claim of a key, unless it has expired or {@link PartitionState.findArchive} returns an archive. */
    find(keyHash: string): ClaimRecord | undefined {
        const kept = this.claims.get(keyHash);
        return kept === undefined || kept.expiry < this.time.now() ? undefined : recordOf(keyHash, kept);
    }

    /** The newest archive that may hold the claim of a key, if the claim is not held in memory. */
    findArchive(keyHash: string): Archive | undefined {
        if (this.claims.has(keyHash)) {
            return undefined;
        }
        const now = this.time.now();
        const wanted = fingerprint(keyHash);
        const place = this.archives.find(({ archive, index }) => {
            return archive.expiry >= now && index.mayContain(wanted)
                && !this.falsePositives.has(falsePositiveKey(archive, keyHash));
        });
        return place?.archive;
    }

    /** Applies the claim that an archive holds for a key, or its absence. */
    applyArchived(archive: Archive, keyHash: string, record: ClaimRecord | undefined): void {
        if (this.findArchive(keyHash)?.name !== archive.name) {
            return;
        }
        if (record === undefined) {
            this.falsePositives.add(falsePositiveKey(archive, keyHash));
        }
        else {
            this.keep(record, archive.last);
        }
    }

    /** Applies the segment that follows the last one. */
    applySegment(number: number, time: number, records: readonly ClaimRecord[]): void {
        if (number !== this.last + 1) {
            throw new Error(`segment ${number} cannot follow segment ${this.last}`);
        }
        for (const record of records) {
            this.keep(record, number);
            this.recentKeys.push(record.keyHash);
        }
        this.last = number;
        this.time.observe(time);
    }

    /** The last record of each key in the segments that no archive holds yet. */
    recent(): ClaimRecord[] {
        return [...new Set(this.recentKeys)].flatMap(keyHash => {
            const kept = this.claims.get(keyHash);
            return kept === undefined ? [] : [recordOf(keyHash, kept)];
        });
    }

    /**
     * Adopts a base row.
     *
     * @param indexes - The indexes of the archives that are not known yet.
     */
    adopt(base: Base, indexes: ReadonlyMap<string, ArchiveIndex>): void {
        const known = new Map(this.archives.map(({ archive, index }) => [archive.name, index]));
        this.archives = base.archives.map(archive => {
            const index = indexes.get(archive.name) ?? known.get(archive.name);
            assert(index !== undefined, "the index of an archive is missing");
            return { archive, index };
        }).reverse();
        this.falsePositives.clear();
        if (base.first > this.last + 1) {
            this.restartAt(base.first);
        }
        // The claims of the newest archive stay in memory, since most duplicates arrive soon after the first request.
        this.dropBefore((this.archives[1]?.archive.last ?? 0) + 1);
        this.recentKeys = this.recentKeys.filter(keyHash => (this.claims.get(keyHash)?.segment ?? 0) >= base.first);
        this.time.observe(base.time);
    }

    /** Drops expired claims if the sweep interval has passed. */
    forgetExpired(): void {
        const now = this.time.now();
        if (now < this.nextSweep) {
            return;
        }
        this.nextSweep = now + sweepInterval;
        this.dropWhere(({ expiry }) => expiry < now);
    }

    /** Drops all claims, so that the partition is read again from the start. Partition time does not go back. */
    clear(): void {
        this.restartAt(1);
        this.archives = [];
        this.falsePositives.clear();
        this.runners.clear();
    }

    /** Drops all claims and continues at a segment. Skipped segments may hold newer claims than those in memory. */
    private restartAt(first: number): void {
        this.claims.clear();
        this.recentKeys = [];
        this.last = first - 1;
        this.loadedFrom = first;
    }

    private dropBefore(segment: number): void {
        if (segment > this.loadedFrom) {
            this.loadedFrom = segment;
            this.runners.clear();
            this.dropWhere(claim => claim.segment < segment);
        }
    }

    private dropWhere(drops: (claim: KeptClaim) => boolean): void {
        for (const [keyHash, claim] of this.claims) {
            if (drops(claim)) {
                this.claims.delete(keyHash);
            }
        }
    }

    /** Stores a claim. A later segment overrides earlier claims of the same key. */
    private keep({ keyHash, digest, generation, runner, expiry }: ClaimRecord, segment: number): void {
        this.claims.set(keyHash, { digest, generation, runner: this.internRunner(runner), expiry, segment });
    }

    private internRunner(runner: Runner): Runner {
        const name = runnerName(runner);
        const known = this.runners.get(name);
        if (known === undefined) {
            this.runners.set(name, runner);
        }
        return known ?? runner;
    }
}

function recordOf(keyHash: string, { digest, generation, runner, expiry }: KeptClaim): ClaimRecord {
    return { keyHash, digest, generation, runner, expiry };
}

function falsePositiveKey(archive: Archive, keyHash: string): string {
    return `${archive.name} ${keyHash}`;
}
