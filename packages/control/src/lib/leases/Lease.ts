import { type Row, type TableStore, type Transaction } from "@waxwingspar/stores";
import { type Clock, failure, type Outcome, platformCodes, uniqueId } from "@waxwingspar/utils";
import { Result } from "true-myth";
import { commitResolved } from "../support/commitResolved.js";
import { withDefaults } from "../support/withDefaults.js";
import { fenceFloor, fenceKey, leaseKey, type LeaseValue, parseLease, termKey } from "./leaseRow.js";

/**
 * Options of {@link Lease}.
 *
 * @public
 */
export interface LeaseOptions {
    readonly store: TableStore;
    readonly clock: Clock;
    /** The name of the duty that the lease is for. */
    readonly duty: string;
    /** The name of this process. */
    readonly holder: string;
    /** Unique for each start of this process. */
    readonly incarnation: string;
    /** Milliseconds that the lease is valid after each renewal. */
    readonly duration?: number;
    /**
     * Multiple of the lease duration for which another process must see no renewal before it takes the lease over. The
     * margin above 1 covers differences in speed between the monotonic clocks of two processes.
     */
    readonly takeoverFactor?: number;
    /** Creates a unique id for each write. */
    readonly writeId?: () => string;
}

/** The latest row version that this process has read, and the monotonic time at which it first read it. */
interface Observation {
    readonly version: number;
    readonly since: number;
}

/** The state that was read from the store before a write of the lease, and on which the write depends. */
interface LeaseSnapshot {
    /** The version of the lease row. */
    readonly version: number;
    /** The term row of the fence in the lease row; undefined if the lease has no value. */
    readonly term: Row | undefined;
    /** The era of the store in which both rows were read. */
    readonly era: number;
}

/** The state of a lease that this process holds. */
interface Holding {
    /** The version of the lease row, or undefined if the row has to be read again. */
    readonly version: number | undefined;
    readonly fence: number;
    /** The version of the term row. */
    readonly term: number;
    /** The monotonic time after which another process may hold the lease. */
    readonly expires: number;
}

const defaultDuration = 10_000;
const defaultTakeoverFactor = 1.1;

/**
 * A lease that one process holds at a time. After a process pause, two processes may both act as the holder. This is
 * harmless: every order carries the fencing token (fence), and the receiver refuses orders with an older one.
 *
 * @public
 */
export class Lease {
    readonly duty: string;
    private readonly options: Required<LeaseOptions>;
    private observed: Observation | undefined;
    private holding: Holding | undefined;
    /** Counts releases, so that a renewal whose response arrives after a release does not restore the lease. */
    private releases = 0;

    constructor(options: LeaseOptions) {
        this.duty = options.duty;
        const defaults = { duration: defaultDuration, takeoverFactor: defaultTakeoverFactor, writeId: uniqueId };
        this.options = withDefaults(defaults, options);
    }

    /** Milliseconds that the lease is valid after each renewal. */
    get duration(): number {
        return this.options.duration;
    }

    /** The fencing token that orders must carry, or undefined if the lease is not held. */
    get fence(): number | undefined {
        return this.isHeld() ? this.holding?.fence : undefined;
    }

    /** Returns true while no other process can hold the lease. Reads the monotonic clock on every call. */
    isHeld(): boolean {
        return this.holding !== undefined && this.options.clock.now() < this.holding.expires;
    }

    /**
     * Renews the lease if this process holds it; otherwise tries to acquire it. Must be called every third of the lease
     * duration.
     *
     * @returns Whether this process holds the lease, or the failure of the store.
     */
    async poll(): Promise<Outcome<boolean>> {
        const releases = this.releases;
        if (this.holding?.version !== undefined) {
            const renewed = await this.renew(this.holding, this.holding.version);
            if (renewed.isErr || renewed.value) {
                return renewed;
            }
        }
        const { store } = this.options;
        for (;;) {
            const { era } = store;
            const row = await store.get(leaseKey(this.duty));
            if (row.isErr) {
                return Result.err(row.error);
            }
            if (releases !== this.releases) {
                return Result.ok(false);
            }
            // A row read across a change of era may belong to either one, so it is read again.
            if (store.era === era) {
                return this.acquireOrRenew(row.value, era);
            }
        }
    }

    /**
     * Runs an action if the lease is held. Nothing is awaited between the check and the action, so only a pause of the
     * whole process can separate them; the fence protects against that case.
     *
     * @param action - Receives the fence that its orders must carry.
     * @returns The action's outcome, or `leaseLost` if the lease is not held and the action was not called.
     */
    checked<T>(action: (fence: number) => Promise<Outcome<T>>): Promise<Outcome<T>> {
        const fence = this.fence;
        if (fence === undefined) {
            return Promise.resolve(Result.err(failure(platformCodes.leaseLost, `lease ${this.duty} is not held`)));
        }
        return action(fence);
    }

    /**
     * Releases the lease before it expires, so that another process can acquire it at once. The lease counts as not
     * held as soon as this is called, whatever the store answers. If the write is lost, the next holder waits for the
     * expiry.
     */
    async release(): Promise<Outcome<void>> {
        const held = this.holding;
        this.holding = undefined;
        this.releases++;
        if (held?.version === undefined) {
            return Result.ok(undefined);
        }
        const key = leaseKey(this.duty);
        const value = { ...this.value(held.fence), released: true };
        const written = await this.commit(this.ownConditions(held, held.version), [{ key, value }]);
        return written.map(() => undefined);
    }

    /** Renews, acquires or leaves the lease, depending on the row that has just been read. */
    private async acquireOrRenew(row: Row, era: number): Promise<Outcome<boolean>> {
        const value = parseLease(row);
        const isOwn = value !== undefined && !value.released && this.isOwn(value);
        if (!isOwn) {
            this.holding = undefined;
        }
        if (!isOwn && !this.mayAcquire(row, value)) {
            return Result.ok(false);
        }
        const { releases } = this;
        const snapshot = await this.readSnapshot(row.version, value, era);
        if (snapshot.isErr) {
            return Result.err(snapshot.error);
        }
        if (this.options.store.era !== era || releases !== this.releases) {
            return Result.ok(false);
        }
        if (isOwn && this.isFenceExclusive(value.fence, snapshot.value)) {
            const term = snapshot.value.term?.version ?? 0;
            return this.renew({ version: undefined, fence: value.fence, term, expires: -Infinity }, row.version);
        }
        this.holding = undefined;
        return this.acquire(value, snapshot.value);
    }

    private async readSnapshot(
        version: number,
        value: LeaseValue | undefined,
        era: number,
    ): Promise<Outcome<LeaseSnapshot>> {
        if (value === undefined) {
            return Result.ok({ version, term: undefined, era });
        }
        const term = await this.options.store.get(termKey(this.duty, value.fence));
        return term.map(row => ({ version, term: row, era }));
    }

    /**
     * Checks that no other process can have been given the same fence. A fence acquired while the store was restored
     * from a copy may also have been given to another process.
     */
    private isFenceExclusive(fence: number, { term, era }: LeaseSnapshot): boolean {
        return term !== undefined && term.version > 0 && (this.holding?.fence === fence || fence > fenceFloor(era));
    }

    private isOwn(value: LeaseValue): boolean {
        return value.holder === this.options.holder && value.incarnation === this.options.incarnation;
    }

    /**
     * Checks whether the lease is free. The holder measures the duration from before it sends a renewal, and this
     * process from after it has read the renewed row, so the lease expires for the holder first.
     */
    private mayAcquire(row: Row, value: LeaseValue | undefined): boolean {
        if (value === undefined || value.released) {
            return true;
        }
        const now = this.options.clock.now();
        if (this.observed?.version !== row.version) {
            this.observed = { version: row.version, since: now };
            return false;
        }
        return now - this.observed.since >= value.duration * this.options.takeoverFactor;
    }

    /**
     * Writes this process as the holder with a new fence, on condition that no other process has acquired the lease.
     */
    private async acquire(
        value: LeaseValue | undefined,
        { version, term, era }: LeaseSnapshot,
    ): Promise<Outcome<boolean>> {
        const key = leaseKey(this.duty);
        const fence = Math.max(value?.fence ?? 0, fenceFloor(era)) + 1;
        const taken = termKey(this.duty, fence);
        const conditions = [{ key, version }];
        const writes: Transaction["writes"] = [
            { key, value: this.value(fence) },
            { key: fenceKey(this.duty), value: { fence } },
            { key: taken, value: { fence } },
        ];
        if (term !== undefined) {
            conditions.push({ key: term.key, version: term.version });
            writes.push({ key: term.key });
        }
        return this.commitHolding(conditions, writes, versions => {
            const isSameEra = this.options.store.era === era;
            // A fence of the previous era may also belong to a process whose acquisition the restored copy lacks.
            return isSameEra ? { version: versions[key], fence, term: versions[taken] ?? 0 } : undefined;
        });
    }

    private renew(held: Holding, version: number): Promise<Outcome<boolean>> {
        const key = leaseKey(this.duty);
        const { fence, term } = held;
        const writes = [{ key, value: this.value(fence) }];
        return this.commitHolding(
            this.ownConditions(held, version),
            writes,
            versions => ({ version: versions[key], fence, term }),
        );
    }

    private ownConditions({ fence, term }: Holding, version: number): Transaction["conditions"] {
        return [{ key: leaseKey(this.duty), version }, { key: termKey(this.duty, fence), version: term }];
    }

    /** Commits a transaction. If it takes effect, holds the lease for its duration from before the commit was sent. */
    private async commitHolding(
        conditions: Transaction["conditions"],
        writes: Transaction["writes"],
        toHolding: (versions: Record<string, number>) => Omit<Holding, "expires"> | undefined,
    ): Promise<Outcome<boolean>> {
        const sent = this.options.clock.now();
        const releases = this.releases;
        const written = await this.commit(conditions, writes);
        if (releases !== this.releases) {
            return Result.ok(false);
        }
        if (written.isOk) {
            const holding = toHolding(written.value);
            this.holding = holding && { ...holding, expires: sent + this.options.duration };
            return Result.ok(this.isHeld());
        }
        if (written.error.code === platformCodes.conditionFailed) {
            this.forgetVersion();
            return Result.ok(false);
        }
        if (written.error.code === platformCodes.storeUnknown) {
            this.forgetVersion();
        }
        return Result.err(written.error);
    }

    /**
     * Forgets the version of the lease row, so that the next poll reads the row. The lease stays held until it expires,
     * since the write that changed the row may have been an earlier renewal by this process.
     */
    private forgetVersion(): void {
        this.holding &&= { ...this.holding, version: undefined };
    }

    private value(fence: number): LeaseValue {
        const { holder, incarnation, duration } = this.options;
        return { holder, incarnation, fence, duration, released: false };
    }

    /** @returns The new version of each written row. */
    private commit(
        conditions: Transaction["conditions"],
        writes: Transaction["writes"],
    ): Promise<Outcome<Record<string, number>>> {
        return commitResolved(this.options.store, { writeId: this.options.writeId(), conditions, writes });
    }
}
