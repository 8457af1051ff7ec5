import { type Clock, type Timer } from "@waxwingspar/utils";
import { LRUCache } from "lru-cache";
import { type Logger } from "pino";
import { type Store, type StoredRow } from "../store/Store.js";
import { type StoreEras } from "../store/StoreEras.js";
import { isPart } from "./crashCauses.js";
import {
    addCrashes,
    type CrashRecord,
    emptyRecord,
    joinRecords,
    noUnwritten,
    recordSchema,
    type UnwrittenCrashes,
} from "./CrashRecord.js";
import { type CrashSet, joinCrashSets, noCrashes } from "./CrashSet.js";
import { type RetrialVerdict } from "./Retrial.js";
import { retrialDelays } from "./retrialDelays.js";

/** Options of {@link CrashRecords}. */
export interface CrashRecordsOptions {
    readonly clock: Clock;
    readonly store: Store;
    readonly eras?: StoreEras;
    readonly logger: Logger;
    /** Whether a request with a part is known to have run without a crash. */
    readonly hasRun?: (part: string) => boolean;
}

interface KnownRecord extends CrashRecord {
    readonly version: number;
    /** Time on the clock at which this process learned of the last granted run. */
    readonly grantKnownAt: number;
}

/** Counts of a record that still matter. */
interface CountsSinceLastRun {
    readonly crashes: number;
    readonly targets: CrashSet;
    readonly retrials: number;
}

/** Options of {@link CrashRecords.grant}. */
export interface GrantOptions {
    /** Whether a record makes the cause suspect: another gateway may have excused it. */
    readonly isSuspect: (record: CrashRecord) => boolean;
    /** Whether the prompt has another suspect part, so that a crash does not tell which of them is to blame. */
    readonly isShared?: boolean;
}

/** The table of the store for crashes of targets. */
export const crashTable = "crashing-requests";
/** Milliseconds after which the outcome of a granted run is known at all gateways. */
const trialTime = 2_000;
/** Runs that a part gets in prompts with another suspect part. The last one is left for a prompt without one. */
const maxSharedRetrials = 2;
/** Milliseconds since its last write after which a record expires: callers do not retry a request for that long. */
const lifetime = 3_600_000;
/** Milliseconds after which a record that still counts is written again, so that it does not expire. */
const renewalAge = 600_000;
/** The same for a record without a retrial: most requests that were interrupted by a crash are never sent again. */
const idleLifetime = 600_000;
/** Maximum number of attempts of a write that conflicts with writes of other gateways. */
const maxWriteAttempts = 6;
const maxKnown = 1_000;
/** Maximum number of rows that a process removes at its start, so that parallel starts do not overload the store. */
const maxRemoved = 20;
/** Milliseconds between two reads of the table, so that a series of crashes does not overload the store. */
const readInterval = 2_000;
/** Milliseconds between two reads for requests that are refused: operators may have removed a record. */
const reviewInterval = 30_000;

/**
 * Counts crashes by cause, and the runs granted since, in the store. All gateways share these counts, including
 * restarted ones and those without contact to peers. While the store does not answer, no run is granted.
 */
export class CrashRecords {
    private readonly known = new LRUCache<string, KnownRecord>({ max: maxKnown });
    /** Crashes that are not yet written to the store, by cause. */
    private readonly unwritten = new Map<string, UnwrittenCrashes>();
    /** Records that a store restored from a copy may lack; they are written again if it does. */
    private readonly lost = new Set<string>();
    /** Counts in the store that no longer matter here, because a run without a crash followed, by cause. */
    private readonly forgiven = new LRUCache<string, CountsSinceLastRun>({ max: maxKnown });
    /** Earliest time of the next read. */
    private nextRead = -Infinity;
    private scheduledRead: { readonly at: number; readonly timer: Timer; readonly isFirst: boolean; } | undefined;
    private isReading = false;
    /** Whether a target has crashed during the current read, whose result may not contain the record of that crash. */
    private mustReadAgain = false;
    private isStopped = false;

    constructor(private readonly options: CrashRecordsOptions) {
        options.eras?.onNewEra(() => this.handleRestoredStore());
    }

    /** Reads the records that were written before this process started. */
    start(): void {
        this.refresh({ isFirst: true });
    }

    stop(): void {
        this.isStopped = true;
    }

    /** Returns the record of a cause as last read or written; undefined when there is none or it has expired. */
    get(cause: string): CrashRecord | undefined {
        const record = this.known.get(cause);
        return record === undefined || this.isOutdated(record) ? undefined : record;
    }

    /** Returns the counts of a record that still matter here: those since the last run without a crash. */
    countsSinceLastRun(cause: string, record = this.get(cause)): CountsSinceLastRun {
        const { crashes = 0, targets = noCrashes, retrials = 0, excused = 0 } = record ?? {};
        const forgiven = this.forgiven.get(cause) ?? { crashes: 0, targets: noCrashes, retrials: 0 };
        return {
            crashes: Math.max(0, crashes - Math.max(excused, forgiven.crashes)),
            targets: (targets & ~forgiven.targets) >>> 0,
            retrials: retrials <= forgiven.retrials ? 0 : retrials,
        };
    }

    /**
     * Whether the cause has used up its runs, according to the record known here. Requests with a part wait for the
     * outcome of its last run.
     */
    isCondemned(cause: string): boolean {
        return this.timeToNextRun(cause) === Infinity && !this.isOnTrial(cause);
    }

    /** Whether the outcome of the last run that was granted to a part may not be known yet. */
    isOnTrial(cause: string): boolean {
        return isPart(cause) && this.grantAge(cause) < trialTime;
    }

    /** Milliseconds until the cause may get another run, according to the record known here. */
    timeToNextRun(cause: string): number {
        const { retrials } = this.countsSinceLastRun(cause);
        return retrials === 0 ? 0 : Math.max(0, (this.delaysOf(cause)[retrials] ?? Infinity) - this.grantAge(cause));
    }

    /** Milliseconds since this process learned of the last run that was granted to the cause; infinite without one. */
    grantAge(cause: string): number {
        return this.options.clock.now() - (this.known.get(cause)?.grantKnownAt ?? -Infinity);
    }

    /**
     * Records that a request with a part ran without a crash: what the store has recorded of the part so far no longer
     * matters here.
     *
     * @param ranAt - A run before the last granted one does not tell how that one ended.
     */
    forgive(part: string, ranAt: number): void {
        const record = this.known.get(part);
        if (record !== undefined && ranAt >= record.grantKnownAt) {
            const { crashes, targets = noCrashes, retrials } = record;
            this.forgiven.set(part, { crashes, targets, retrials });
        }
    }

    /** Keeps the record of a refused cause from expiring, and reads it again from time to time. */
    noteRefused(cause: string): void {
        const record = this.get(cause);
        if (record !== undefined && this.options.clock.date().getTime() - record.writtenAt > renewalAge) {
            void this.change(cause, () => ({}));
        }
        this.refresh({ delay: reviewInterval - readInterval });
    }

    /** Records a crash of a request in the store, or once the store answers again. */
    async addCrash(digest: string): Promise<void> {
        const { crashes, targets } = this.unwritten.get(digest) ?? noUnwritten;
        this.unwritten.set(digest, { crashes: crashes + 1, targets });
        await this.writeCrashes(digest);
    }

    /** The same for targets that crashed while running prompts with a part. */
    async addTargets(part: string, targets: CrashSet): Promise<void> {
        this.unwritten.set(part, { ...noUnwritten, targets });
        await this.writeCrashes(part);
    }

    /**
     * Reads the records of other gateways after a target has crashed, as soon as the interval between reads allows, or
     * `delay` milliseconds later unless another read is due before.
     */
    refresh({ isFirst = false, delay = 0 } = {}): void {
        const { clock } = this.options;
        const at = Math.max(clock.now(), this.nextRead + delay);
        if (this.isReading) {
            this.mustReadAgain = true;
            return;
        }
        if (this.isStopped || at >= (this.scheduledRead?.at ?? Infinity)) {
            return;
        }
        const isAnyFirst = isFirst || this.scheduledRead?.isFirst === true;
        this.scheduledRead?.timer.cancel();
        const timer = clock.schedule(() => void this.read(isAnyFirst), at - clock.now());
        this.scheduledRead = { at, timer, isFirst: isAnyFirst };
    }

    /** Requests one more run of a request with a cause. */
    async grant(cause: string, { isSuspect, isShared = false }: GrantOptions): Promise<RetrialVerdict> {
        let verdict: RetrialVerdict = "granted";
        const result = await this.change(cause, record => {
            verdict = isSuspect(record) ? this.decide(cause, record, isShared) : "excused";
            return verdict === "granted" ? { retrials: record.retrials + 1 } : undefined;
        });
        return result === "failed" ? "unavailable" : verdict;
    }

    /**
     * Records that a request with the cause ran without a crash: crashes so far no longer count, nor do granted runs.
     */
    async excuse(cause: string, crashes: number): Promise<void> {
        await this.change(
            cause,
            ({ retrials, excused = 0 }) =>
                retrials === 0 && excused >= crashes ? undefined : { crashes, retrials: 0, excused: crashes },
        );
    }

    /** Records that a part ran without a crash: the targets that crashed so far no longer count, nor granted runs. */
    async excusePart(part: string): Promise<void> {
        await this.change(
            part,
            ({ retrials, targets = noCrashes }) =>
                retrials === 0 && targets === noCrashes
                    ? undefined
                    : { crashes: 0, targets: noCrashes, retrials: 0 },
        );
    }

    /** Returns a granted run that did not begin, since no target was reached. */
    async giveBack(cause: string): Promise<void> {
        await this.change(cause, ({ retrials }) => retrials === 0 ? undefined : { retrials: retrials - 1 });
    }

    /**
     * Handles that the store was restored from a copy, which may lack granted retrials. The records known here are kept
     * without their versions and merged with those of the store; the larger counts are correct.
     */
    private handleRestoredStore(): void {
        for (const [cause, record] of [...this.known.entries()]) {
            this.known.set(cause, { ...record, version: 0 });
            this.lost.add(cause);
        }
        this.refresh();
    }

    private delaysOf(cause: string): readonly number[] {
        return retrialDelays(cause, this.options.hasRun?.(cause) === true);
    }

    private decide(cause: string, { retrials }: CrashRecord, isShared: boolean): RetrialVerdict {
        const delays = this.delaysOf(cause);
        if (retrials >= (isShared ? Math.min(maxSharedRetrials, delays.length) : delays.length)) {
            return this.isOnTrial(cause) ? "tooSoon" : "condemned";
        }
        return retrials > 0 && this.grantAge(cause) < (delays[retrials] ?? 0) ? "tooSoon" : "granted";
    }

    private async writeCrashes(cause: string): Promise<void> {
        const added = this.unwritten.get(cause) ?? noUnwritten;
        this.unwritten.delete(cause);
        const result = await this.change(cause, record => {
            const { targets } = this.countsSinceLastRun(cause, record);
            return addCrashes({ ...record, targets }, added);
        });
        if (result === "failed") {
            const { crashes, targets } = this.unwritten.get(cause) ?? noUnwritten;
            this.unwritten.set(cause, {
                crashes: crashes + added.crashes,
                targets: joinCrashSets(targets, added.targets),
            });
            this.refresh();
        }
    }

    private async read(isFirst: boolean): Promise<void> {
        const { store, clock, logger } = this.options;
        this.nextRead = clock.now() + readInterval;
        this.scheduledRead = undefined;
        this.isReading = true;
        const result = await store.read(crashTable);
        this.isReading = false;
        if (this.mustReadAgain) {
            this.mustReadAgain = false;
            this.refresh();
        }
        if (result.kind !== "read") {
            logger.warn({ result: result.kind }, "crashing requests not read");
            this.refresh({ isFirst });
            return;
        }
        this.forgetRemoved(result.rows, result.version);
        result.rows.forEach(row => this.applyRow(row));
        logger.info({ requests: result.rows.length, version: result.version }, "crashing requests read");
        await Promise.all([...this.unwritten.keys()].map(cause => this.writeCrashes(cause)));
        await this.writeLost(result.rows);
        if (isFirst) {
            await this.removeOutdated(result.rows);
        }
    }

    /** Forgets records that were removed from the store, by an operator or because they had expired. */
    private forgetRemoved(rows: readonly StoredRow[], version: number): void {
        const held = new Set(rows.map(({ key }) => key));
        for (const [cause, record] of [...this.known.entries()]) {
            if (!held.has(cause) && !this.lost.has(cause) && record.version <= version) {
                this.known.delete(cause);
                this.forgiven.delete(cause);
            }
        }
    }

    /** Writes lost retrials again. Lost crashes are not: they still count through the heartbeats of the gateways. */
    private async writeLost(rows: readonly StoredRow[]): Promise<void> {
        const held = new Map(rows.map(({ key, value }) => [key, recordSchema.safeParse(value).data?.retrials ?? 0]));
        for (const cause of this.lost) {
            const { retrials = 0 } = this.get(cause) ?? {};
            if (retrials > (held.get(cause) ?? 0)) {
                await this.change(cause, () => ({}));
            }
        }
        this.lost.clear();
    }

    /** Removes some expired rows, which would otherwise fill the table. Every process does this at its start. */
    private async removeOutdated(rows: readonly StoredRow[]): Promise<void> {
        const outdated = rows.filter(({ key }) => this.known.has(key) && this.get(key) === undefined);
        for (const { key, version } of outdated.slice(0, maxRemoved)) {
            // A row that cannot be removed, or was changed since the read, is left to the next process that starts.
            await this.options.store.write({ table: crashTable, key, value: undefined, expectedVersion: version });
            this.known.delete(key);
        }
    }

    /** Applies a change to the current record in the store; an undefined change leaves the record as it is. */
    private async change(
        cause: string,
        computeChange: (record: CrashRecord) => Partial<CrashRecord> | undefined,
    ): Promise<"done" | "failed"> {
        const { store, clock, logger } = this.options;
        for (let tries = 0; tries < maxWriteAttempts; tries++) {
            const record = this.get(cause) ?? emptyRecord;
            const changed = computeChange(record);
            if (changed === undefined) {
                return "done";
            }
            const { crashes, targets, retrials, excused } = { ...record, ...changed };
            const value: CrashRecord = { crashes, targets, retrials, excused, writtenAt: clock.date().getTime() };
            const expectedVersion = this.known.get(cause)?.version ?? 0;
            const result = await store.write({ table: crashTable, key: cause, value, expectedVersion });
            if (result.kind === "written") {
                this.applyRow({ key: cause, value, version: result.version });
                return "done";
            }
            if (result.kind !== "conflict") {
                logger.warn({ cause, result: result.kind }, "crashing request not written");
                return "failed";
            }
            const outdated = this.known.get(cause);
            this.known.delete(cause);
            result.rows.forEach(row => this.applyRow(row, outdated));
        }
        logger.warn({ cause, result: "conflicts" }, "crashing request not written");
        return "failed";
    }

    /** Updates the record known here, unless the row is older or invalid, for instance of another software version. */
    private applyRow({ key, value, version }: StoredRow, known = this.known.get(key)): void {
        const record = recordSchema.safeParse(value);
        if (record.success && version >= (known?.version ?? 0)) {
            const isPossiblyLost = known !== undefined && this.lost.has(key);
            const data = isPossiblyLost ? joinRecords(record.data, known) : record.data;
            const hasNewGrant = data.retrials > (known?.retrials ?? 0);
            const grantKnownAt = hasNewGrant ? this.options.clock.now() : known?.grantKnownAt ?? -Infinity;
            this.known.set(key, { ...data, version, grantKnownAt });
            const forgiven = this.forgiven.get(key);
            if (forgiven !== undefined) {
                const retrials = Math.min(forgiven.retrials, data.retrials);
                const targets = (forgiven.targets & (data.targets ?? noCrashes)) >>> 0;
                this.forgiven.set(key, { ...forgiven, retrials, targets });
            }
        }
    }

    private isOutdated({ writtenAt, retrials }: CrashRecord): boolean {
        return this.options.clock.date().getTime() - writtenAt > (retrials > 0 ? lifetime : idleLifetime);
    }
}
