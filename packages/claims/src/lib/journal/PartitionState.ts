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
     * The segment that holds it, or the last one of its archive. The generation does not tell: a claim that was written again after a
     * copy of the store lost it keeps its own.
     */
    readonly segment: number;
}

interface IndexedArchive {
    readonly archive: Archive;
    readonly index: ArchiveIndex;
}

/** Milliseconds between two passes over all claims. */
const sweepInterval = 30_000;

/**
 * What an owner knows of a partition: every claim up to a segment number. Recent claims are held whole; of those that
 * only archives hold it has fingerprints, and takes in the few that are asked for again.
 *
 * @internal
 */
export class PartitionState {
    readonly time: PartitionClock;
    private readonly claims = new Map<string, KeptClaim>();
    private readonly runners = new Map<string, Runner>();
    private recentKeys: string[] = [];
    /** The newest first. */
    private archives: IndexedArchive[] = [];
    /** Archives and keys whose fingerprint is in the archive without the key being there. */
    private readonly falsePositives = new Set<string>();
    /** Every claim of this segment or a later one is held whole. */
    private loadedFrom = 1;
    private last = 0;
    private nextSweep = 0;
    /** The lowest generation of a claim that is granted now. */
    firstGeneration = 0;

    /** @param series - The name under which this partition counts generations. */
    constructor(clock: Clock, readonly series: string) {
        this.time = new PartitionClock(clock);
    }

    /** The number of the last segment that is known, with all before it. */
    get lastSegment(): number {
        return this.last;
    }

    /** Claims that are known. */
    get size(): number {
        const archived = this.archives.filter(({ archive }) => archive.last < this.loadedFrom);
        return archived.reduce((sum, { index }) => sum + index.size, this.claims.size);
    }

    /** Whether the index of an archive is known. */
    hasIndex(name: string): boolean {
        return this.archives.some(({ archive }) => archive.name === name);
    }

    /** The claim of a key, unless it has expired or {@link PartitionState.findArchive} names an archive. */
    find(keyHash: string): ClaimRecord | undefined {
        const kept = this.claims.get(keyHash);
        return kept === undefined || kept.expiry < this.time.now() ? undefined : recordOf(keyHash, kept);
    }

    /** The newest archive that may hold the claim of a key which is not held whole. */
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

    /** Takes in what an archive holds of a key. */
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

    /** The records of segments that no archive holds yet; of a key with several, the last. */
    recent(): ClaimRecord[] {
        return [...new Set(this.recentKeys)].flatMap(keyHash => {
            const kept = this.claims.get(keyHash);
            return kept === undefined ? [] : [recordOf(keyHash, kept)];
        });
    }

    /**
     * Takes over a base row.
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
        // The claims of the newest archive stay, since most duplicates come soon.
        this.dropBefore((this.archives[1]?.archive.last ?? 0) + 1);
        this.recentKeys = this.recentKeys.filter(keyHash => (this.claims.get(keyHash)?.segment ?? 0) >= base.first);
        this.time.observe(base.time);
    }

    /** Forgets expired claims, if the last time was long enough ago. */
    forgetExpired(): void {
        const now = this.time.now();
        if (now < this.nextSweep) {
            return;
        }
        this.nextSweep = now + sweepInterval;
        this.dropWhere(({ expiry }) => expiry < now);
    }

    /** Forgets everything, so that the partition is read anew. Partition time does not go back. */
    clear(): void {
        this.restartAt(1);
        this.archives = [];
        this.falsePositives.clear();
        this.runners.clear();
    }

    /** Archives hold segments that were never read here; any claim held may be outdated by one of them. */
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

    /** Of several claims of a key the one in the last segment counts. */
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
