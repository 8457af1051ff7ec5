import { assert, type Clock, type Failure, failure, type Outcome, requestCodes, type Timer } from "@waxwingspar/utils";
import { Result } from "true-myth";
import { IndexedHeap } from "../support/IndexedHeap.js";
import { ConcurrencyLimit } from "./ConcurrencyLimit.js";
import { type FairItem, FairScheduler } from "./FairScheduler.js";
import { FirstTokenModel } from "./FirstTokenModel.js";
import { type OrganisationAccount, OrganisationAccounts } from "./OrganisationAccounts.js";
import { type WorkItem, type WorkQueue } from "./WorkQueue.js";
import { type CompleteWorkQueueOptions, completeWorkQueueOptions, type WorkQueueOptions } from "./WorkQueueOptions.js";

/** The minimum retry delay returned with a refusal, in milliseconds. */
const minRetryAfter = 50;

/** A queued item. Items of one organisation and priority are ordered by expiry. */
interface WaitingItem extends FairItem {
    readonly item: WorkItem;
    readonly account: OrganisationAccount;
    /** Clock time in milliseconds after which the item can no longer meet its bound and is refused. */
    readonly expires: number;
    /** True when `expires` is the caller's deadline, not the latest start that meets the first-token bound. */
    readonly endsAtDeadline: boolean;
}

interface RunningItem {
    readonly account: OrganisationAccount;
    readonly priority: number;
    /** The slot time charged to the organisation at the start, in milliseconds. */
    readonly charged: number;
}

class FairWorkQueue implements WorkQueue {
    private readonly clock: Clock;
    private readonly accounts: OrganisationAccounts;
    private readonly scheduler = new FairScheduler<WaitingItem>();
    private readonly firstToken: FirstTokenModel;
    private readonly limit: ConcurrencyLimit;
    private readonly active = new Map<string, RunningItem>();
    private readonly waiting = new Map<string, WaitingItem>();
    private readonly expiry = new IndexedHeap<WaitingItem>();
    private expiryTimer: { readonly due: number; readonly timer: Timer; } | undefined;
    /** Mean time that an item holds its slot, in milliseconds. */
    private meanHold: number;
    /** Mean prefill cost of the offered items, in tokens. */
    private meanCost = 0;
    private closed = false;

    constructor(private readonly options: CompleteWorkQueueOptions) {
        this.clock = options.clock;
        this.accounts = new OrganisationAccounts(options);
        this.firstToken = new FirstTokenModel(options);
        this.limit = new ConcurrencyLimit(options.slots, options.tokenBound);
        this.meanHold = options.initialHold;
    }

    get running(): number {
        return this.active.size;
    }

    get queued(): number {
        return this.scheduler.size;
    }

    offer(item: WorkItem): Outcome<"started" | "queued"> {
        assert(
            !this.active.has(item.id) && !this.waiting.has(item.id),
            `work item ${item.id} is already queued or running`,
        );
        if (this.closed) {
            return Result.err(stopping());
        }
        if (item.timeLeft <= 0) {
            return Result.err(failure(requestCodes.deadlinePassed, "the deadline has passed"));
        }
        const account = this.accounts.get(item.organisation);
        this.accounts.touch(account);
        this.meanCost += (item.cost - this.meanCost) / this.options.memory;
        const prediction = this.firstToken.predict(item.cost);
        const startsNow = this.startsNow(account);
        const wait = startsNow ? 0 : this.predictedWait(account, item.priority);
        const late = wait + prediction - Math.min(this.boundOf(item, account), item.timeLeft);
        // An item may start against the prediction from time to time; otherwise a wrong one would never be corrected.
        const isTrial = startsNow && this.firstToken.needsTrial();
        if (late > 0 && !isTrial) {
            return Result.err(this.overloaded(late));
        }
        return this.admit(item, account, prediction, startsNow);
    }

    finish(id: string, duration: number): void {
        const done = this.active.get(id);
        if (done === undefined) {
            return;
        }
        this.active.delete(id);
        done.account.running--;
        this.firstToken.finished(id);
        this.meanHold += (duration - this.meanHold) / this.options.memory;
        const usual = done.account.meanHold ?? duration;
        done.account.meanHold = usual + (duration - usual) / this.options.memory;
        this.scheduler.correct(done.account, done.priority, duration - done.charged);
        this.startWaiting();
    }

    cancel(id: string): boolean {
        const waiting = this.waiting.get(id);
        if (waiting === undefined) {
            return false;
        }
        this.dequeue(waiting);
        return true;
    }

    observe(firstToken: number | undefined, interval: number | undefined): void {
        if (firstToken !== undefined) {
            this.firstToken.observe(firstToken);
        }
        if (interval !== undefined) {
            this.limit.observe(interval, this.active.size);
        }
    }

    estimate(): number {
        const isFree = this.active.size + this.scheduler.size < this.limit.value;
        const wait = isFree ? 0 : (this.scheduler.size + 1) * this.drainInterval();
        return wait + this.firstToken.predict(this.meanCost);
    }

    setShare(organisation: string, share: number, requestsPerSecond?: number, maxInFlight?: number): void {
        this.accounts.setShare(organisation, share, requestsPerSecond, maxInFlight);
    }

    close(): void {
        this.closed = true;
        [...this.waiting.values()].forEach(waiting => this.refuse(waiting, stopping()));
    }

    private admit(
        item: WorkItem,
        account: OrganisationAccount,
        prediction: number,
        startsNow: boolean,
    ): Outcome<"started" | "queued"> {
        const allowed = this.accounts.admit(account);
        if (allowed.isErr) {
            return Result.err(allowed.error);
        }
        if (startsNow) {
            this.begin(item, account, this.charge(account, item.priority));
            return Result.ok("started");
        }
        if (this.scheduler.size >= this.options.capacity && !this.makeRoom(account, item.priority)) {
            return Result.err(this.overloaded(this.drainInterval()));
        }
        const latestStart = Math.max(0, this.boundOf(item, account) - prediction);
        const endsAtDeadline = item.timeLeft < latestStart;
        const expires = this.clock.now() + Math.min(item.timeLeft, latestStart);
        const { id, priority } = item;
        this.enqueue({ id, priority, order: expires, item, account, expires, endsAtDeadline });
        this.startWaiting();
        return Result.ok(this.active.has(item.id) ? "started" : "queued");
    }

    private makeRoom(account: OrganisationAccount, priority: number): boolean {
        const displaced = this.scheduler.findItemToDisplace(account, priority);
        if (displaced === undefined) {
            return false;
        }
        this.refuse(displaced, this.overloaded(this.drainInterval()));
        return true;
    }

    private enqueue(waiting: WaitingItem): void {
        this.waiting.set(waiting.item.id, waiting);
        waiting.account.queued++;
        this.scheduler.add(waiting);
        this.expiry.set(waiting.item.id, waiting.expires, waiting);
        this.armExpiry();
    }

    private dequeue(waiting: WaitingItem): void {
        this.waiting.delete(waiting.item.id);
        waiting.account.queued--;
        this.scheduler.remove(waiting);
        this.expiry.delete(waiting.item.id);
    }

    private refuse(waiting: WaitingItem, reason: Failure): void {
        this.dequeue(waiting);
        waiting.item.refuse(reason);
    }

    /** Charges an organisation for an item that is about to start. Returns the charged slot time in milliseconds. */
    private charge(account: OrganisationAccount, priority: number): number {
        const expected = account.meanHold ?? this.meanHold;
        this.scheduler.start(account, priority, expected);
        return expected;
    }

    private begin(item: WorkItem, account: OrganisationAccount, charged: number): void {
        this.active.set(item.id, { account, priority: item.priority, charged });
        account.running++;
        this.firstToken.started(item.id, item.cost);
        item.start();
    }

    private startWaiting(): void {
        while (this.scheduler.size > 0 && this.active.size < this.limit.value) {
            const waiting = this.scheduler.next(account => this.mayStart(account));
            if (waiting === undefined) {
                return;
            }
            const { item, account } = waiting;
            // Charge before the item is removed from the queue, while the organisation still counts as backlogged.
            const charged = this.charge(account, item.priority);
            this.dequeue(waiting);
            this.begin(item, account, charged);
        }
    }

    /** Organisations at or above their fair share may not use the reserved slots. */
    private mayStart(account: OrganisationAccount): boolean {
        if (this.active.size >= this.limit.value) {
            return false;
        }
        return !this.isInReserve() || !this.accounts.isOverShare(account, this.limit.value);
    }

    /** True when at most the reserved slots are free. */
    private isInReserve(): boolean {
        const reserved = Math.ceil(this.limit.value * this.options.reserve);
        return this.active.size >= this.limit.value - reserved;
    }

    /** True when a new item can start immediately: the queue is empty, or only reserved slots are free. */
    private startsNow(account: OrganisationAccount): boolean {
        return this.mayStart(account) && (this.scheduler.size === 0 || this.isInReserve());
    }

    /** The first-token bound used for admission, tightened by `headroom` for an organisation above its fair share. */
    private boundOf(item: WorkItem, account: OrganisationAccount): number {
        const isOver = this.accounts.isOverShare(account, this.limit.value);
        return isOver ? item.startBound * (1 - this.options.headroom) : item.startBound;
    }

    private predictedWait(account: OrganisationAccount, priority: number): number {
        return this.scheduler.queuePosition(account, priority) * this.drainInterval();
    }

    /** Expected time until the next slot is freed, in milliseconds. */
    private drainInterval(): number {
        return this.meanHold / Math.max(1, this.active.size);
    }

    private overloaded(late: number): Failure {
        const retryAfter = Math.max(minRetryAfter, late);
        return failure(requestCodes.overloaded, "the first token would come after its bound", { retryAfter });
    }

    private armExpiry(): void {
        const due = this.expiry.lowestRank();
        if (due === Infinity || (this.expiryTimer !== undefined && this.expiryTimer.due <= due)) {
            return;
        }
        this.expiryTimer?.timer.cancel();
        const timer = this.clock.schedule(() => this.expire(), due - this.clock.now());
        this.expiryTimer = { due, timer };
    }

    private expire(): void {
        this.expiryTimer = undefined;
        const now = this.clock.now();
        while (this.expiry.lowestRank() <= now) {
            const waiting = this.expiry.peek()!;
            const reason = waiting.endsAtDeadline
                ? failure(requestCodes.deadlinePassed, "the deadline passed in the queue")
                : this.overloaded(this.drainInterval());
            this.refuse(waiting, reason);
        }
        this.armExpiry();
    }
}

function stopping(): Failure {
    return failure(requestCodes.stopping, "the target takes no new work");
}

/**
 * Creates the work queue of an agent.
 *
 * @example
 * ```ts
 * const queue = createWorkQueue({ clock, slots: 32 });
 * queue.setShare("depots", 2, 40);
 * const admitted = queue.offer(item);
 * ```
 * @public
 */
export function createWorkQueue(options: WorkQueueOptions): WorkQueue {
    return new FairWorkQueue(completeWorkQueueOptions(options));
}
