import { type Row, type TableStore, type Transaction } from "@waxwingspar/stores";
import { type Clock, failure, type Outcome, platformCodes, uniqueId } from "@waxwingspar/utils";
import { Result } from "true-myth";
import { commitResolved } from "../support/commitResolved.js";
import { withDefaults } from "../support/withDefaults.js";
import { fenceKey, leaseKey, type LeaseValue, parseLease } from "./leaseRow.js";

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

/** The lease as this process holds it. */
interface Holding {
    /** The version of the row, or undefined while a renewal's effect is unknown. */
    readonly version: number | undefined;
    readonly fence: number;
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
    private term = 0;

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
        const term = this.term;
        if (this.holding?.version !== undefined) {
            const renewed = await this.write(this.holding.version, this.holding.fence);
            if (renewed.isErr || renewed.value) {
                return renewed;
            }
        }
        const row = await this.options.store.get(leaseKey(this.duty));
        if (row.isErr) {
            return Result.err(row.error);
        }
        if (term !== this.term) {
            return Result.ok(false);
        }
        return this.decide(row.value);
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
        this.term++;
        if (held?.version === undefined) {
            return Result.ok(undefined);
        }
        const written = await this.commit(held.version, { ...this.value(held.fence), released: true });
        return written.map(() => undefined);
    }

    /** Takes the next step from the row as it was read just now. */
    private async decide(row: Row): Promise<Outcome<boolean>> {
        const value = parseLease(row);
        if (value !== undefined && !value.released && this.isOwn(value)) {
            return this.write(row.version, value.fence);
        }
        this.holding = undefined;
        return this.mayTake(row, value) ? this.write(row.version, (value?.fence ?? 0) + 1, true) : Result.ok(false);
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

    /** Writes this process as the holder, on condition that the row has not changed. */
    private async write(version: number, fence: number, isNew = false): Promise<Outcome<boolean>> {
        const sent = this.options.clock.now();
        const term = this.term;
        const written = await this.commit(version, this.value(fence), isNew);
        if (term !== this.term) {
            return Result.ok(false);
        }
        if (written.isOk) {
            this.holding = { version: written.value, fence, expires: sent + this.options.duration };
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

    /** @returns The new version of the row, if the store told it. */
    private async commit(version: number, value: LeaseValue, isNew = false): Promise<Outcome<number | undefined>> {
        const key = leaseKey(this.duty);
        const fenceWrite = { key: fenceKey(this.duty), value: { fence: value.fence } };
        const transaction: Transaction = {
            writeId: this.options.writeId(),
            conditions: [{ key, version }],
            writes: isNew ? [{ key, value }, fenceWrite] : [{ key, value }],
        };
        const versions = await commitResolved(this.options.store, transaction);
        return versions.map(found => found[key]);
    }
}
