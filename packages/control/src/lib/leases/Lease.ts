import { type Row, type TableStore, type Transaction } from "@waxwingspar/stores";
import { type Clock, failure, type Outcome, platformCodes, uniqueId } from "@waxwingspar/utils";
import { Result } from "true-myth";
import { commitResolved } from "../support/commitResolved.js";
import { withDefaults } from "../support/withDefaults.js";
import { fenceKey, leaseKey, type LeaseValue, lowestFence, parseLease, termKey } from "./leaseRow.js";

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
    /** Milliseconds that the lease lasts from each renewal. */
    readonly duration?: number;
    /**
     * How much longer than the lease's duration an observer waits before it takes the lease over, as a factor. It
     * covers monotonic clocks that do not run at quite the same speed.
     */
    readonly patience?: number;
    /** Creates the id of each write. */
    readonly writeId?: () => string;
}

/** A row version that this process has seen, and since when. */
interface Observation {
    readonly version: number;
    readonly since: number;
}

/** What a write of the lease rests on. */
interface Basis {
    /** The version of the lease's row. */
    readonly version: number;
    /** The row of the term that the lease's row tells of; undefined while there is none. */
    readonly term: Row | undefined;
    /** The era of the store in which both were read. */
    readonly era: number;
}

/** The lease as this process holds it. */
interface Holding {
    /** The version of the row, or undefined while a renewal's effect is unknown. */
    readonly version: number | undefined;
    readonly fence: number;
    /** The version of the row of its term. */
    readonly term: number;
    /** The monotonic time from which on another process may hold the lease. */
    readonly expires: number;
}

const defaultDuration = 10_000;
const defaultPatience = 1.1;

/**
 * A leased role that one process holds at a time, as far as clocks allow. Two holders at once are possible after a
 * pause, and harmless: every order carries the fence, and the older one is refused where the order is carried out.
 *
 * @public
 */
export class Lease {
    readonly duty: string;
    private readonly options: Required<LeaseOptions>;
    private observed: Observation | undefined;
    private holding: Holding | undefined;
    /** Counts releases, so that a renewal that is answered after a release does not revive the lease. */
    private releases = 0;

    constructor(options: LeaseOptions) {
        this.duty = options.duty;
        const defaults = { duration: defaultDuration, patience: defaultPatience, writeId: uniqueId };
        this.options = withDefaults(defaults, options);
    }

    /** Milliseconds that the lease lasts from each renewal. */
    get duration(): number {
        return this.options.duration;
    }

    /** The fence to put on orders, or undefined if the lease is not held now. */
    get fence(): number | undefined {
        return this.isHeld() ? this.holding?.fence : undefined;
    }

    /** True while no other process can hold the lease. Reads the monotonic clock on every call. */
    isHeld(): boolean {
        return this.holding !== undefined && this.options.clock.now() < this.holding.expires;
    }

    /**
     * Renews the lease if this process has it, or else looks whether it can be taken. To be called at a third of the
     * duration.
     *
     * @returns True if the lease is held; a failure of the store otherwise.
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
            // Answers of two eras do not fit together.
            if (store.era === era) {
                return this.decide(row.value, era);
            }
        }
    }

    /**
     * Runs an action if the lease is still held at this very moment. Nothing is awaited between the check and the
     * action, so only a pause of the whole process can come between, which the fence covers.
     *
     * @param action - Receives the fence that its orders must carry.
     * @returns The action's outcome, or `leaseLost` if it was not called.
     */
    checked<T>(action: (fence: number) => Promise<Outcome<T>>): Promise<Outcome<T>> {
        const fence = this.fence;
        if (fence === undefined) {
            return Promise.resolve(Result.err(failure(platformCodes.leaseLost, `lease ${this.duty} is not held`)));
        }
        return action(fence);
    }

    /**
     * Gives the lease up before its end, so that another process can take it at once. From the call on the lease is
     * not held, whatever the store answers; a lost write only means that the next holder waits for the whole duration.
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

    /** Takes the next step from the row as it was read just now. */
    private async decide(row: Row, era: number): Promise<Outcome<boolean>> {
        const value = parseLease(row);
        const isOwn = value !== undefined && !value.released && this.isOwn(value);
        if (!isOwn) {
            this.holding = undefined;
        }
        if (!isOwn && !this.mayTake(row, value)) {
            return Result.ok(false);
        }
        const { releases } = this;
        const basis = await this.readBasis(row.version, value, era);
        if (basis.isErr) {
            return Result.err(basis.error);
        }
        if (this.options.store.era !== era || releases !== this.releases) {
            return Result.ok(false);
        }
        if (isOwn && this.isConfirmed(value.fence, basis.value)) {
            const term = basis.value.term?.version ?? 0;
            return this.renew({ version: undefined, fence: value.fence, term, expires: -Infinity }, row.version);
        }
        this.holding = undefined;
        return this.take(value, basis.value);
    }

    private async readBasis(version: number, value: LeaseValue | undefined, era: number): Promise<Outcome<Basis>> {
        if (value === undefined) {
            return Result.ok({ version, term: undefined, era });
        }
        const term = await this.options.store.get(termKey(this.duty, value.fence));
        return term.map(row => ({ version, term: row, era }));
    }

    /** Whether a fence is this process's alone: one that was taken as the store came back from a copy may be another's, too. */
    private isConfirmed(fence: number, { term, era }: Basis): boolean {
        return term !== undefined && term.version > 0 && (this.holding?.fence === fence || fence > lowestFence(era));
    }

    private isOwn(value: LeaseValue): boolean {
        return value.holder === this.options.holder && value.incarnation === this.options.incarnation;
    }

    /**
     * Tells whether the lease is free. The holder counts from before it sent its renewal, and this process from after
     * it has read the renewed row, so the holder's count ends first.
     */
    private mayTake(row: Row, value: LeaseValue | undefined): boolean {
        if (value === undefined || value.released) {
            return true;
        }
        const now = this.options.clock.now();
        if (this.observed?.version !== row.version) {
            this.observed = { version: row.version, since: now };
            return false;
        }
        return now - this.observed.since >= value.duration * this.options.patience;
    }

    /** Writes this process as the holder with a new fence, on condition that nobody else has taken the lease. */
    private async take(value: LeaseValue | undefined, { version, term, era }: Basis): Promise<Outcome<boolean>> {
        const key = leaseKey(this.duty);
        const fence = Math.max(value?.fence ?? 0, lowestFence(era)) + 1;
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
        return this.hold(conditions, writes, versions => {
            const isSameEra = this.options.store.era === era;
            // A fence of the era before may have been given to another process that the copy does not know.
            return isSameEra ? { version: versions[key], fence, term: versions[taken] ?? 0 } : undefined;
        });
    }

    private renew(held: Holding, version: number): Promise<Outcome<boolean>> {
        const key = leaseKey(this.duty);
        const { fence, term } = held;
        const writes = [{ key, value: this.value(fence) }];
        return this.hold(
            this.ownConditions(held, version),
            writes,
            versions => ({ version: versions[key], fence, term }),
        );
    }

    private ownConditions({ fence, term }: Holding, version: number): Transaction["conditions"] {
        return [{ key: leaseKey(this.duty), version }, { key: termKey(this.duty, fence), version: term }];
    }

    /** Commits, and holds the lease from before that was sent, if it took effect. */
    private async hold(
        conditions: Transaction["conditions"],
        writes: Transaction["writes"],
        holdingOf: (versions: Record<string, number>) => Omit<Holding, "expires"> | undefined,
    ): Promise<Outcome<boolean>> {
        const sent = this.options.clock.now();
        const releases = this.releases;
        const written = await this.commit(conditions, writes);
        if (releases !== this.releases) {
            return Result.ok(false);
        }
        if (written.isOk) {
            const holding = holdingOf(written.value);
            this.holding = holding && { ...holding, expires: sent + this.options.duration };
            return Result.ok(this.isHeld());
        }
        if (written.error.code === platformCodes.conditionFailed) {
            this.loseVersion();
            return Result.ok(false);
        }
        if (written.error.code === platformCodes.storeUnknown) {
            this.loseVersion();
        }
        return Result.err(written.error);
    }

    /**
     * Forgets the row's version, so that the next step reads the row. The lease itself stays held until it expires: the
     * write that changed the row may have been an earlier renewal of this process.
     */
    private loseVersion(): void {
        this.holding &&= { ...this.holding, version: undefined };
    }

    private value(fence: number): LeaseValue {
        const { holder, incarnation, duration } = this.options;
        return { holder, incarnation, fence, duration, released: false };
    }

    /** @returns The new versions of the rows, if the store told them. */
    private commit(
        conditions: Transaction["conditions"],
        writes: Transaction["writes"],
    ): Promise<Outcome<Record<string, number>>> {
        return commitResolved(this.options.store, { writeId: this.options.writeId(), conditions, writes });
    }
}
