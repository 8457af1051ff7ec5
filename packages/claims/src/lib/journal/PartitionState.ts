import { type Clock } from "@waxwingspar/utils";
import { type Runner } from "../Claims.js";
import { type ClaimRecord, runnerName } from "./ClaimRecord.js";
import { PartitionClock } from "./PartitionClock.js";

interface KeptClaim {
    readonly digest: string;
    readonly generation: number;
    readonly runner: Runner;
    readonly expiry: number;
}

/** Milliseconds between two passes over all claims. */
const sweepInterval = 30_000;

/**
 * What an owner knows of a partition: every claim up to a segment number. Records may be applied in any order and more
 * than once.
 *
 * @internal
 */
export class PartitionState {
    readonly time: PartitionClock;
    private readonly claims = new Map<string, KeptClaim>();
    private readonly runners = new Map<string, Runner>();
    private recentKeys: string[] = [];
    private nextSweep = 0;
    private last = 0;

    /** @param series - The name under which this partition counts generations. */
    constructor(clock: Clock, readonly series: string) {
        this.time = new PartitionClock(clock);
    }

    /** The number of the last segment that is known, with all before it. */
    get lastSegment(): number {
        return this.last;
    }

    /** Claims in memory. */
    get size(): number {
        return this.claims.size;
    }

    /** The claim of a key, unless it has expired. */
    find(keyHash: string): ClaimRecord | undefined {
        const kept = this.claims.get(keyHash);
        return kept === undefined || kept.expiry < this.time.now() ? undefined : { keyHash, ...kept };
    }

    /** Applies the segment that follows the last one. */
    applySegment(number: number, time: number, records: readonly ClaimRecord[]): void {
        if (number !== this.last + 1) {
            throw new Error(`segment ${number} cannot follow segment ${this.last}`);
        }
        records.forEach(record => this.apply(record));
        records.forEach(({ keyHash }) => this.recentKeys.push(keyHash));
        this.last = number;
        this.time.observe(time);
    }

    /** The records of segments that no archive holds yet; of a key with several, the last. */
    recent(): ClaimRecord[] {
        return [...new Set(this.recentKeys)].flatMap(keyHash => {
            const kept = this.claims.get(keyHash);
            return kept === undefined ? [] : [{ keyHash, ...kept }];
        });
    }

    /** Applies the records of an archive. */
    applyArchive(records: readonly ClaimRecord[]): void {
        records.forEach(record => this.apply(record));
    }

    /** Notes that archives hold every segment before `first`, and that all of them have been applied. */
    archivedBefore(first: number): void {
        this.last = Math.max(this.last, first - 1);
        this.recentKeys = this.recentKeys.filter(keyHash => (this.claims.get(keyHash)?.generation ?? 0) >= first);
    }

    /** Forgets expired claims, if the last time was long enough ago. */
    forgetExpired(): void {
        const now = this.time.now();
        if (now < this.nextSweep) {
            return;
        }
        this.nextSweep = now + sweepInterval;
        for (const [keyHash, { expiry }] of this.claims) {
            if (expiry < now) {
                this.claims.delete(keyHash);
            }
        }
    }

    private apply({ keyHash, digest, generation, runner, expiry }: ClaimRecord): void {
        const known = this.claims.get(keyHash);
        if (known === undefined || known.generation < generation) {
            this.claims.set(keyHash, { digest, generation, runner: this.shared(runner), expiry });
        }
    }

    private shared(runner: Runner): Runner {
        const name = runnerName(runner);
        const known = this.runners.get(name);
        if (known === undefined) {
            this.runners.set(name, runner);
        }
        return known ?? runner;
    }
}
