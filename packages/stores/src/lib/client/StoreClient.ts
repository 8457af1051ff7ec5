import { type Clock, type Failure, failure, type Outcome, platformCodes, type Random, sleep } from "@waxwingspar/utils";
import { Result } from "true-myth";
import { type CallKind } from "../memory/FaultInjector.js";
import { type Row, type TableStore, type Transaction } from "../TableStore.js";
import { TokenBucket } from "../TokenBucket.js";
import { Breaker, type BreakerState } from "./Breaker.js";
import { canRepeat } from "./canRepeat.js";
import { CommitOnce } from "./CommitOnce.js";
import { type BackoffBounds } from "./fullJitter.js";
import { ReadSharing } from "./ReadSharing.js";
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
     * Permits of each kind that may be saved up. All processes together can spend theirs in one moment, so keep it at 1
     * except for the few holders of a duty.
     */
    readonly burst?: number;
    /** The longest wait for a permit, in milliseconds; a call that would wait longer is refused at once. */
    readonly maxWait?: number;
    /** Milliseconds until a call without an answer counts as unknown. */
    readonly timeout?: number;
    /** Waits between the attempts of {@link StoreClient.commitOnce}. */
    readonly backoff?: BackoffBounds;
    /** Milliseconds after which {@link StoreClient.commitOnce} gives up. Keep it below the store's memory of write ids. */
    readonly commitDeadline?: number;
    /** Failures in a row that open the breaker. */
    readonly breakerThreshold?: number;
    /** How long the breaker stays open. The cap bounds how long after an outage this process notices its end. */
    readonly breakerPause?: BackoffBounds;
}

const defaults = {
    burst: 1,
    maxWait: 2_000,
    timeout: 2_000,
    backoff: { base: 50, cap: 2_000 },
    commitDeadline: 30_000,
    breakerThreshold: 3,
    breakerPause: { base: 1_000, cap: 30_000 },
};

/**
 * The one client through which a process uses the table service. It keeps the process within its share of the fleet's
 * rate, stops calling a store that does not answer, and finds out what became of a write whose answer was lost.
 *
 * @public
 */
export class StoreClient implements TableStore {
    private readonly options: Required<StoreClientOptions>;
    private readonly breaker: Breaker;
    private readonly buckets: Record<CallKind, TokenBucket>;
    private readonly committer: CommitOnce;
    private readonly sharing = new ReadSharing();

    constructor(options: StoreClientOptions) {
        this.options = { ...defaults, ...options };
        const { clock, random, burst, readsPerSecond, writesPerSecond, breakerThreshold, breakerPause } = this.options;
        this.breaker = new Breaker({ clock, random, threshold: breakerThreshold, pause: breakerPause });
        this.buckets = {
            read: new TokenBucket({ clock, rate: readsPerSecond, burst }),
            write: new TokenBucket({ clock, rate: writesPerSecond, burst }),
        };
        const { backoff, commitDeadline } = this.options;
        this.committer = new CommitOnce({ store: this, clock, random, backoff, patience: commitDeadline });
        this.restartBuckets();
    }

    get era(): number {
        return this.options.store.era;
    }

    /** The breaker's state, for metrics. */
    get breakerState(): BreakerState {
        return this.breaker.state;
    }

    /** Changes this process's share of the rates, when it takes or gives up a duty. */
    setRates(rates: { readonly readsPerSecond: number; readonly writesPerSecond: number; }): void {
        this.buckets.read.setRate(rates.readsPerSecond);
        this.buckets.write.setRate(rates.writesPerSecond);
    }

    /** Like the port's; equal reads of one turn of the event loop share one call. */
    get(key: string): Promise<Outcome<Row>> {
        return this.sharing.run(`get ${key}`, () => this.call("read", () => this.options.store.get(key)));
    }

    /** Like the port's; equal scans of one turn of the event loop share one call. */
    scan(prefix: string, after: string, limit: number): Promise<Outcome<Row[]>> {
        const name = JSON.stringify([prefix, after, limit]);
        return this.sharing.run(name, () => this.call("read", () => this.options.store.scan(prefix, after, limit)));
    }

    /** Sends a transaction once. */
    commit(transaction: Transaction): Promise<Outcome<Record<string, number>>> {
        return this.call("write", () => this.options.store.commit(transaction));
    }

    findCommit(writeId: string): Promise<Outcome<Record<string, number> | undefined>> {
        return this.call("read", () => this.options.store.findCommit(writeId));
    }

    /**
     * Commits a transaction and does not take a lost answer for an answer: it asks for the write id before it repeats,
     * and again when the repeat meets a broken condition, which may be the work of the first copy.
     *
     * @param mayRepeat - Whether two copies can never both take effect; see {@link canRepeat}.
     * @returns As `commit`. `storeUnknown` remains when the store could not be asked before the deadline, since it may
     * forget the write id soon after, or when the transaction may not be repeated. The caller must then read the rows.
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
            const message = `the local share of ${kind}s is used up`;
            return Result.err(failure(platformCodes.budgetExhausted, message, { retryAfter: bucket.wait() }));
        }
        if (wait > 0) {
            await sleep(clock, wait);
        }
        if (!this.breaker.enter()) {
            return this.breakerRefusal();
        }
        const outcome = await withTimeout(clock, timeout, send());
        this.note(outcome);
        return outcome;
    }

    private note(outcome: Outcome<unknown>): void {
        if (outcome.isErr && isStoreFailure(outcome.error)) {
            this.breaker.fail();
        }
        else if (this.breaker.succeed()) {
            this.restartBuckets();
        }
    }

    /** Spreads the next permits of processes that start together, or see the end of an outage together. */
    private restartBuckets(): void {
        this.buckets.read.restart(this.options.random.next());
        this.buckets.write.restart(this.options.random.next());
    }

    private breakerRefusal(): Outcome<never> {
        const retryAfter = Math.ceil(this.breaker.wait());
        return Result.err(failure(platformCodes.storeUnavailable, "the store did not answer lately", { retryAfter }));
    }
}

function isStoreFailure(error: Failure): boolean {
    return error.code === platformCodes.storeUnknown || error.code === platformCodes.storeUnavailable;
}
