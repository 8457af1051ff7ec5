import { type Clock, type Failure, failure, type Outcome, platformCodes, type Random, sleep } from "@waxwingspar/utils";
import { Result } from "true-myth";
import { type CallKind } from "../memory/FaultInjector.js";
import { type Row, type TableStore, type Transaction } from "../TableStore.js";
import { TokenBucket } from "../TokenBucket.js";
import { Breaker, type BreakerState } from "./Breaker.js";
import { canRepeat } from "./canRepeat.js";
import { CommitOnce } from "./CommitOnce.js";
import { type BackoffBounds } from "./fullJitter.js";
import { ReadCoalescer } from "./ReadCoalescer.js";
import { withTimeout } from "./withTimeout.js";

/**
 * Options of a {@link StoreClient}.
 *
 * @public
 */
export interface StoreClientOptions {
    readonly store: TableStore;
    readonly clock: Clock;
    readonly random: Random;
    /** This process's share of the fleet's reads per second. */
    readonly readsPerSecond: number;
    /** This process's share of the fleet's writes per second. */
    readonly writesPerSecond: number;
    /**
     * The maximum number of permits of each kind that can accumulate. All processes may spend theirs at the same
     * moment, so keep it at 1 except for the few holders of a control duty.
     */
    readonly burst?: number;
    /** The longest wait for a permit, in milliseconds; a call that would wait longer is refused immediately. */
    readonly maxWait?: number;
    /** Milliseconds after which a call without a response ends with an unknown outcome. */
    readonly timeout?: number;
    /** The back-off between the attempts of {@link StoreClient.commitOnce}. */
    readonly backoff?: BackoffBounds;
    /**
     * Milliseconds after which {@link StoreClient.commitOnce} gives up. Keep it below the time for which the store
     * keeps write ids.
     */
    readonly commitTimeout?: number;
    /** Consecutive failures that open the breaker. */
    readonly breakerThreshold?: number;
    /** How long the breaker stays open. The cap bounds how late this process notices the end of an outage. */
    readonly breakerPause?: BackoffBounds;
}

const defaults = {
    burst: 1,
    maxWait: 2_000,
    timeout: 2_000,
    backoff: { base: 50, cap: 2_000 },
    commitTimeout: 30_000,
    breakerThreshold: 3,
    breakerPause: { base: 1_000, cap: 30_000 },
};

/**
 * The client through which a process makes all its calls to the table service. It limits the process to its share of
 * the fleet's rate, stops calling a store that does not respond, and determines the outcome of a write whose response
 * was lost.
 *
 * @public
 */
export class StoreClient implements TableStore {
    private readonly options: Required<StoreClientOptions>;
    private readonly breaker: Breaker;
    private readonly buckets: Record<CallKind, TokenBucket>;
    private readonly committer: CommitOnce;
    private readonly readCoalescer = new ReadCoalescer();

    constructor(options: StoreClientOptions) {
        this.options = { ...defaults, ...options };
        const { clock, random, burst, readsPerSecond, writesPerSecond, breakerThreshold, breakerPause } = this.options;
        this.breaker = new Breaker({ clock, random, threshold: breakerThreshold, pause: breakerPause });
        this.buckets = {
            read: new TokenBucket({ clock, rate: readsPerSecond, burst }),
            write: new TokenBucket({ clock, rate: writesPerSecond, burst }),
        };
        const { backoff, commitTimeout } = this.options;
        this.committer = new CommitOnce({ store: this, clock, random, backoff, maxDuration: commitTimeout });
        this.restartBuckets();
    }

    get era(): number {
        return this.options.store.era;
    }

    /** The breaker's state, for metrics. */
    get breakerState(): BreakerState {
        return this.breaker.state;
    }

    /** Changes this process's share of the rates, for when it acquires or releases a control duty. */
    setRates(rates: { readonly readsPerSecond: number; readonly writesPerSecond: number; }): void {
        this.buckets.read.setRate(rates.readsPerSecond);
        this.buckets.write.setRate(rates.writesPerSecond);
    }

    /** See {@link TableStore.get}. Equal reads made in one turn of the event loop share one call. */
    get(key: string): Promise<Outcome<Row>> {
        return this.readCoalescer.run(`get ${key}`, () => this.call("read", () => this.options.store.get(key)));
    }

    /** See {@link TableStore.scan}. Equal scans made in one turn of the event loop share one call. */
    scan(prefix: string, after: string, limit: number): Promise<Outcome<Row[]>> {
        const name = JSON.stringify([prefix, after, limit]);
        return this.readCoalescer.run(
            name,
            () => this.call("read", () => this.options.store.scan(prefix, after, limit)),
        );
    }

    /** Sends a transaction once, without repeating it. */
    commit(transaction: Transaction): Promise<Outcome<Record<string, number>>> {
        return this.call("write", () => this.options.store.commit(transaction));
    }

    findCommit(writeId: string): Promise<Outcome<Record<string, number> | undefined>> {
        return this.call("read", () => this.options.store.findCommit(writeId));
    }

    /**
     * Commits a transaction, and determines its result when the response is lost. It looks up the write id before it
     * repeats the transaction, and again when the repeat fails a condition, since the first copy may have caused that.
     *
     * @param mayRepeat - Whether at most one of two copies can take effect; see {@link canRepeat}.
     * @returns As `commit`. `storeUnknown` if the store could not be reached before the deadline, after which it may
     * drop the write id, or if the transaction may not be repeated. The caller must then read the rows.
     */
    commitOnce(
        transaction: Transaction,
        mayRepeat: (transaction: Transaction) => boolean = canRepeat,
    ): Promise<Outcome<Record<string, number>>> {
        return this.committer.run(transaction, mayRepeat);
    }

    private async call<T>(kind: CallKind, send: () => Promise<Outcome<T>>): Promise<Outcome<T>> {
        const { clock, maxWait, timeout } = this.options;
        if (this.breaker.wait() > 0) {
            return this.breakerRefusal();
        }
        const bucket = this.buckets[kind];
        const wait = bucket.take(maxWait);
        if (wait === undefined) {
            const message = `${kind} rate limit of this process exceeded`;
            return Result.err(failure(platformCodes.budgetExhausted, message, { retryAfter: bucket.wait() }));
        }
        if (wait > 0) {
            await sleep(clock, wait);
        }
        if (!this.breaker.tryEnter()) {
            return this.breakerRefusal();
        }
        const outcome = await withTimeout(clock, timeout, send());
        this.recordOutcome(outcome);
        return outcome;
    }

    private recordOutcome(outcome: Outcome<unknown>): void {
        if (outcome.isErr && isStoreFailure(outcome.error)) {
            this.breaker.fail();
        }
        else if (this.breaker.succeed()) {
            this.restartBuckets();
        }
    }

    /** Spreads out the next permits of processes that start or recover from an outage at the same time. */
    private restartBuckets(): void {
        this.buckets.read.restart(this.options.random.next());
        this.buckets.write.restart(this.options.random.next());
    }

    private breakerRefusal(): Outcome<never> {
        const retryAfter = Math.ceil(this.breaker.wait());
        return Result.err(
            failure(platformCodes.storeUnavailable, "circuit breaker open: recent calls to the store failed", {
                retryAfter,
            }),
        );
    }
}

function isStoreFailure(error: Failure): boolean {
    return error.code === platformCodes.storeUnknown || error.code === platformCodes.storeUnavailable;
}
