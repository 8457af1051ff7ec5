import { type Clock } from "@waxwingspar/utils";
import { LRUCache } from "lru-cache";
import { type Logger } from "pino";
import * as z from "zod/mini";
import { type Store, type StoredRow } from "../store/Store.js";
import { type StoreEras } from "../store/StoreEras.js";

const recordSchema = z.object({
    /** Targets that crashed under the request, as far as gateways wrote it down. */
    crashes: z.number(),
    /** Runs that were granted since it became suspect. */
    retrials: z.number(),
    /** How many of these crashes were not its fault, by a run without one; undefined before such a run. */
    excused: z.optional(z.number()),
    /** When the record was written last, in milliseconds since 1970. */
    writtenAt: z.number(),
});

/** What the store holds of a request that targets crashed under. */
export type CrashRecord = z.infer<typeof recordSchema>;

/** Whether one more run is allowed. */
export type RetrialVerdict =
    /** This process may send the request once. */
    | "granted"
    /** It ran without a crash meanwhile, at another gateway. */
    | "excused"
    /** All runs that it could get are used up. */
    | "condemned"
    /** The store cannot tell now. */
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
 * Runs that a request gets for good after the crashes that made it suspect. One may meet another one's crash; two in a row hardly
 * do. The promise is three.
 */
const mostRetrials = 2;
/** Milliseconds since it was written after which a record counts no more: callers do not repeat a request for so long. */
const lifetime = 3_600_000;
/** The same for one without a retrial: most requests that were on a target as it crashed never come back. */
const idleLifetime = 600_000;
/** Writes that are tried against other gateways' writes to the same record. */
const mostTries = 6;
const mostKnown = 1_000;
/** Rows that one process removes at its start, so that many which start at once do not crowd the store. */
const mostRemoved = 20;
/** Milliseconds between two reads of the table, so that a series of crashes does not crowd the store. */
const readInterval = 2_000;

const noCrash: CrashRecord = { crashes: 0, retrials: 0, writtenAt: 0 };

/**
 * Counts, in the store, the crashes under requests and the runs that they got since. All gateways keep to one count, also those
 * that start anew and those that hear no other one; where the store does not answer, no run is granted.
 */
export class CrashRecords {
    private readonly known = new LRUCache<string, KnownRecord>({ max: mostKnown });
    /** Crashes that the store has not taken yet, by digest. */
    private readonly unwritten = new Map<string, number>();
    /** Records that a copy may lack, and that are written again where it does. */
    private readonly lost = new Set<string>();
    private nextRead = -Infinity;
    private isReadDue = false;
    private isStopped = false;

    constructor(private readonly options: CrashRecordsOptions) {
        options.eras?.onRise(() => this.startAnew());
    }

    /** Reads what gateways wrote before this one started. */
    start(): void {
        this.refresh(true);
    }

    stop(): void {
        this.isStopped = true;
    }

    /** What is known here; undefined when nothing is, or it is too old to count. */
    get(digest: string): CrashRecord | undefined {
        const record = this.known.get(digest);
        return record === undefined || this.isOutdated(record) ? undefined : record;
    }

    /** Whether the request has had all its runs, as far as is known here. */
    isCondemned(digest: string): boolean {
        return (this.get(digest)?.retrials ?? 0) >= mostRetrials;
    }

    /** Writes a crash under a request down, or does so once the store answers. */
    async addCrash(digest: string): Promise<void> {
        this.unwritten.set(digest, (this.unwritten.get(digest) ?? 0) + 1);
        await this.writeCrashes(digest);
    }

    /** Reads what other gateways wrote, as a target has crashed: at once, or when the last read is some time ago. */
    refresh(isFirst = false): void {
        if (this.isReadDue || this.isStopped) {
            return;
        }
        this.isReadDue = true;
        const { clock } = this.options;
        clock.schedule(() => void this.read(isFirst), Math.max(0, this.nextRead - clock.now()));
    }

    /**
     * Asks for one more run of a request.
     *
     * @param isSuspect - Whether a record makes it suspect: another gateway may have written that it ran well.
     */
    async grant(digest: string, isSuspect: (record: CrashRecord) => boolean): Promise<RetrialVerdict> {
        let verdict: RetrialVerdict = "granted";
        const result = await this.change(digest, record => {
            verdict = this.judge(record, isSuspect);
            return verdict === "granted" ? { retrials: record.retrials + 1 } : undefined;
        });
        return result === "failed" ? "unavailable" : verdict;
    }

    /** The request ran well: so many crashes were not its fault, and it may run as often as before. */
    async excuse(digest: string, crashes: number): Promise<void> {
        await this.change(digest, () => ({ crashes, retrials: 0, excused: crashes }));
    }

    /**
     * The store went back to a copy, which may lack retrials that were granted. What is known here is kept, without its version, and
     * joined with what the store holds; the larger count is right.
     */
    private startAnew(): void {
        for (const [digest, record] of [...this.known.entries()]) {
            this.known.set(digest, { ...record, version: 0 });
            this.lost.add(digest);
        }
        this.refresh();
    }

    private judge(record: CrashRecord, isSuspect: (record: CrashRecord) => boolean): RetrialVerdict {
        if (!isSuspect(record)) {
            return "excused";
        }
        return record.retrials >= mostRetrials ? "condemned" : "granted";
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
        this.isReadDue = false;
        if (result.kind !== "read") {
            logger.warn({ result: result.kind }, "crashing requests not read");
            this.refresh(isFirst);
            return;
        }
        result.rows.forEach(row => this.learn(row));
        logger.info({ requests: result.rows.length, version: result.version }, "crashing requests read");
        await Promise.all([...this.unwritten.keys()].map(digest => this.writeCrashes(digest)));
        await this.writeLost(result.rows);
        if (isFirst) {
            await this.removeOutdated(result.rows);
        }
    }

    /** Only retrials are written again: crashes count on with what gateways tell each other. */
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

    /** Rows that count no more would fill the table; each process that starts removes some. */
    private async removeOutdated(rows: readonly StoredRow[]): Promise<void> {
        const outdated = rows.filter(({ key }) => this.known.has(key) && this.get(key) === undefined);
        for (const { key, version } of outdated.slice(0, mostRemoved)) {
            // A row that cannot be removed now, or was written meanwhile, is left to the next process that starts.
            await this.options.store.write({ table, key, value: undefined, expectedVersion: version });
            this.known.delete(key);
        }
    }

    /** Changes a record as it stands in the store, or leaves it when the change is undefined. */
    private async change(
        digest: string,
        describe: (record: CrashRecord) => Partial<CrashRecord> | undefined,
    ): Promise<"done" | "failed"> {
        const { store, clock, logger } = this.options;
        for (let tries = 0; tries < mostTries; tries++) {
            const record = this.get(digest) ?? noCrash;
            const changed = describe(record);
            if (changed === undefined) {
                return "done";
            }
            const value: CrashRecord = { ...record, ...changed, writtenAt: clock.date().getTime() };
            const expectedVersion = this.known.get(digest)?.version ?? 0;
            const result = await store.write({ table, key: digest, value, expectedVersion });
            if (result.kind === "written") {
                this.learn({ key: digest, value, version: result.version });
                return "done";
            }
            if (result.kind !== "conflict") {
                logger.warn({ digest, result: result.kind }, "crashing request not written");
                return "failed";
            }
            this.known.delete(digest);
            result.rows.forEach(row => this.learn(row));
        }
        logger.warn({ digest, result: "conflicts" }, "crashing request not written");
        return "failed";
    }

    /** A row that is none, for instance of another version of this program, says nothing; a newer one is kept. */
    private learn({ key, value, version }: StoredRow): void {
        const record = recordSchema.safeParse(value);
        const known = this.known.get(key);
        if (record.success && version >= (known?.version ?? 0)) {
            const mayLack = known !== undefined && this.lost.has(key);
            this.known.set(key, { ...mayLack ? joined(record.data, known) : record.data, version });
        }
    }

    private isOutdated({ writtenAt, retrials }: CrashRecord): boolean {
        return this.options.clock.date().getTime() - writtenAt > (retrials > 0 ? lifetime : idleLifetime);
    }
}

/** Two records of one request, of which either may lack what the other holds. */
function joined(a: CrashRecord, b: CrashRecord): CrashRecord {
    const excused = Math.max(a.excused ?? 0, b.excused ?? 0);
    return {
        crashes: Math.max(a.crashes, b.crashes),
        retrials: Math.max(a.retrials, b.retrials),
        excused: excused === 0 ? undefined : excused,
        writtenAt: Math.max(a.writtenAt, b.writtenAt),
    };
}
