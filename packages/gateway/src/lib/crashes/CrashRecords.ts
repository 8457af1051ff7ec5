import { type Clock } from "@waxwingspar/utils";
import { LRUCache } from "lru-cache";
import { type Logger } from "pino";
import * as z from "zod/mini";
import { type Store, type StoredRow } from "../store/Store.js";
import { type StoreEras } from "../store/StoreEras.js";

const recordSchema = z.object({
    /** Number of targets that crashed while running the request, as recorded by the gateways. */
    crashes: z.number(),
    /** Number of runs that were granted since the request became suspect or was last excused. */
    retrials: z.number(),
    /** Number of crashes that no longer count because the request ran without one; undefined before such a run. */
    excused: z.optional(z.number()),
    /** When the record was last written, in milliseconds since 1970. */
    writtenAt: z.number(),
});

/** Record in the store of a request whose runs were interrupted by crashes of targets. */
export type CrashRecord = z.infer<typeof recordSchema>;

/** Whether a suspect may run once more. */
export type RetrialVerdict =
    /** This process may send the request once. */
    | "granted"
    /** The request has run without a crash at another gateway since. */
    | "excused"
    /** All runs of the request are used up. */
    | "condemned"
    /** The store is unavailable. */
    | "unavailable";

/** Options of {@link CrashRecords}. */
export interface CrashRecordsOptions {
    readonly clock: Clock;
    readonly store: Store;
    readonly eras?: StoreEras;
    readonly logger: Logger;
}

interface KnownRecord extends CrashRecord {
    readonly version: number;
}

const table = "crashing-requests";
/**
 * Total number of runs that a request gets after the crashes that made it suspect. One run may be interrupted by a
 * crash that another request caused; two in a row are unlikely to. The guaranteed limit is three.
 */
const maxRetrials = 2;
/** Milliseconds since its last write after which a record expires: callers do not retry a request for that long. */
const lifetime = 3_600_000;
/** The same for a record without a retrial: most requests that were interrupted by a crash are never sent again. */
const idleLifetime = 600_000;
/** Maximum number of attempts of a write that conflicts with writes of other gateways. */
const maxWriteAttempts = 6;
const maxKnown = 1_000;
/** Maximum number of rows that a process removes at its start, so that parallel starts do not overload the store. */
const maxRemoved = 20;
/** Milliseconds between two reads of the table, so that a series of crashes does not overload the store. */
const readInterval = 2_000;

const emptyRecord: CrashRecord = { crashes: 0, retrials: 0, writtenAt: 0 };

/**
 * Counts crashes by request, and the runs granted since, in the store. All gateways share these counts, including
 * restarted ones and those without contact to peers. While the store does not answer, no run is granted.
 */
export class CrashRecords {
    private readonly known = new LRUCache<string, KnownRecord>({ max: maxKnown });
    /** Crashes that are not yet written to the store, by digest. */
    private readonly unwritten = new Map<string, number>();
    /** Records that a store restored from a copy may lack; they are written again if it does. */
    private readonly lost = new Set<string>();
    private nextRead = -Infinity;
    private isReadScheduled = false;
    private isStopped = false;

    constructor(private readonly options: CrashRecordsOptions) {
        options.eras?.onNewEra(() => this.handleRestoredStore());
    }

    /** Reads the records that were written before this process started. */
    start(): void {
        this.refresh(true);
    }

    stop(): void {
        this.isStopped = true;
    }

    /** Returns the record of a request as last read or written; undefined when there is none or it has expired. */
    get(digest: string): CrashRecord | undefined {
        const record = this.known.get(digest);
        return record === undefined || this.isOutdated(record) ? undefined : record;
    }

    /** Whether the request has used up its runs, according to the record known here. */
    isCondemned(digest: string): boolean {
        return (this.get(digest)?.retrials ?? 0) >= maxRetrials;
    }

    /** Records a crash of a request in the store, or once the store answers again. */
    async addCrash(digest: string): Promise<void> {
        this.unwritten.set(digest, (this.unwritten.get(digest) ?? 0) + 1);
        await this.writeCrashes(digest);
    }

    /** Reads the records of other gateways after a target has crashed, as soon as the interval between reads allows. */
    refresh(isFirst = false): void {
        if (this.isReadScheduled || this.isStopped) {
            return;
        }
        this.isReadScheduled = true;
        const { clock } = this.options;
        clock.schedule(() => void this.read(isFirst), Math.max(0, this.nextRead - clock.now()));
    }

    /**
     * Requests one more run of a request.
     *
     * @param isSuspect - Whether a record makes the request suspect: another gateway may have excused it.
     */
    async grant(digest: string, isSuspect: (record: CrashRecord) => boolean): Promise<RetrialVerdict> {
        let verdict: RetrialVerdict = "granted";
        const result = await this.change(digest, record => {
            verdict = this.decide(record, isSuspect);
            return verdict === "granted" ? { retrials: record.retrials + 1 } : undefined;
        });
        return result === "failed" ? "unavailable" : verdict;
    }

    /** Records that the request ran without a crash: its crashes so far no longer count, nor do its granted runs. */
    async excuse(digest: string, crashes: number): Promise<void> {
        await this.change(digest, () => ({ crashes, retrials: 0, excused: crashes }));
    }

    /**
     * Handles that the store was restored from a copy, which may lack granted retrials. The records known here are kept
     * without their versions and merged with those of the store; the larger counts are correct.
     */
    private handleRestoredStore(): void {
        for (const [digest, record] of [...this.known.entries()]) {
            this.known.set(digest, { ...record, version: 0 });
            this.lost.add(digest);
        }
        this.refresh();
    }

    private decide(record: CrashRecord, isSuspect: (record: CrashRecord) => boolean): RetrialVerdict {
        if (!isSuspect(record)) {
            return "excused";
        }
        return record.retrials >= maxRetrials ? "condemned" : "granted";
    }

    private async writeCrashes(digest: string): Promise<void> {
        const count = this.unwritten.get(digest) ?? 0;
        this.unwritten.delete(digest);
        const result = await this.change(digest, ({ crashes }) => ({ crashes: crashes + count }));
        if (result === "failed") {
            this.unwritten.set(digest, (this.unwritten.get(digest) ?? 0) + count);
            this.refresh();
        }
    }

    private async read(isFirst: boolean): Promise<void> {
        const { store, clock, logger } = this.options;
        this.nextRead = clock.now() + readInterval;
        const result = await store.read(table);
        this.isReadScheduled = false;
        if (result.kind !== "read") {
            logger.warn({ result: result.kind }, "crashing requests not read");
            this.refresh(isFirst);
            return;
        }
        result.rows.forEach(row => this.applyRow(row));
        logger.info({ requests: result.rows.length, version: result.version }, "crashing requests read");
        await Promise.all([...this.unwritten.keys()].map(digest => this.writeCrashes(digest)));
        await this.writeLost(result.rows);
        if (isFirst) {
            await this.removeOutdated(result.rows);
        }
    }

    /** Writes lost retrials again. Lost crashes are not: they still count through the heartbeats of the gateways. */
    private async writeLost(rows: readonly StoredRow[]): Promise<void> {
        const held = new Map(rows.map(({ key, value }) => [key, recordSchema.safeParse(value).data?.retrials ?? 0]));
        for (const digest of this.lost) {
            const { retrials = 0 } = this.get(digest) ?? {};
            if (retrials > (held.get(digest) ?? 0)) {
                await this.change(digest, () => ({}));
            }
        }
        this.lost.clear();
    }

    /** Removes some expired rows, which would otherwise fill the table. Every process does this at its start. */
    private async removeOutdated(rows: readonly StoredRow[]): Promise<void> {
        const outdated = rows.filter(({ key }) => this.known.has(key) && this.get(key) === undefined);
        for (const { key, version } of outdated.slice(0, maxRemoved)) {
            // A row that cannot be removed, or was changed since the read, is left to the next process that starts.
            await this.options.store.write({ table, key, value: undefined, expectedVersion: version });
            this.known.delete(key);
        }
    }

    /** Applies a change to the current record in the store; an undefined change leaves the record as it is. */
    private async change(
        digest: string,
        computeChange: (record: CrashRecord) => Partial<CrashRecord> | undefined,
    ): Promise<"done" | "failed"> {
        const { store, clock, logger } = this.options;
        for (let tries = 0; tries < maxWriteAttempts; tries++) {
            const record = this.get(digest) ?? emptyRecord;
            const changed = computeChange(record);
            if (changed === undefined) {
                return "done";
            }
            const value: CrashRecord = { ...record, ...changed, writtenAt: clock.date().getTime() };
            const expectedVersion = this.known.get(digest)?.version ?? 0;
            const result = await store.write({ table, key: digest, value, expectedVersion });
            if (result.kind === "written") {
                this.applyRow({ key: digest, value, version: result.version });
                return "done";
            }
            if (result.kind !== "conflict") {
                logger.warn({ digest, result: result.kind }, "crashing request not written");
                return "failed";
            }
            this.known.delete(digest);
            result.rows.forEach(row => this.applyRow(row));
        }
        logger.warn({ digest, result: "conflicts" }, "crashing request not written");
        return "failed";
    }

    /** Updates the record known here, unless the row is older or invalid, for instance of another software version. */
    private applyRow({ key, value, version }: StoredRow): void {
        const record = recordSchema.safeParse(value);
        const known = this.known.get(key);
        if (record.success && version >= (known?.version ?? 0)) {
            const isPossiblyLost = known !== undefined && this.lost.has(key);
            this.known.set(key, { ...isPossiblyLost ? joined(record.data, known) : record.data, version });
        }
    }

    private isOutdated({ writtenAt, retrials }: CrashRecord): boolean {
        return this.options.clock.date().getTime() - writtenAt > (retrials > 0 ? lifetime : idleLifetime);
    }
}

/** Merges two records of a request, each of which may lack counts of the other. */
function joined(a: CrashRecord, b: CrashRecord): CrashRecord {
    const excused = Math.max(a.excused ?? 0, b.excused ?? 0);
    return {
        crashes: Math.max(a.crashes, b.crashes),
        retrials: Math.max(a.retrials, b.retrials),
        excused: excused === 0 ? undefined : excused,
        writtenAt: Math.max(a.writtenAt, b.writtenAt),
    };
}
