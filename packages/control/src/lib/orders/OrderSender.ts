import { type Order } from "@waxwingspar/engine";
import { type HistoryRecorder } from "@waxwingspar/history";
import {
    type Clock,
    type Failure,
    type Outcome,
    platformCodes,
    requestCodes,
    resourceCodes,
    transportCodes,
} from "@waxwingspar/utils";
import { type Lease } from "../leases/Lease.js";
import { withDefaults } from "../support/withDefaults.js";
import { orderId } from "./orderId.js";
import { Refusals, type RefusedVersion } from "./Refusals.js";
import { type TargetPort } from "./TargetPort.js";

/**
 * An order that a duty wants a target's agent to apply.
 *
 * @public
 */
export interface WantedOrder {
    readonly target: string;
    /** The incarnation of the agent whose report showed that the order is needed. */
    readonly incarnation: string;
    /** The monotonic time at which that report was requested. */
    readonly observedAt: number;
    readonly action: Order["action"];
}

/**
 * Options of {@link OrderSender}.
 *
 * @public
 */
export interface OrderSenderOptions {
    readonly clock: Clock;
    readonly targets: TargetPort;
    readonly record?: HistoryRecorder;
    /** Milliseconds to wait after a definite failure before the next attempt; doubled with each further failure. */
    readonly retryDelay?: number;
    /** Called when an order is refused for its fence: another process has taken the duty over. */
    readonly onStaleFence?: () => void;
    /** Called for every failure, for logging. */
    readonly onFailure?: (order: Order, target: string, failure: Failure) => void;
}

/** The state of the attempts to send one wanted order. */
interface Progress {
    readonly wanted: WantedOrder;
    attempt: number;
    pending: boolean;
    /** The monotonic time at which the last attempt was confirmed as applied. */
    appliedAt: number | undefined;
    /** Consecutive definite failures. */
    failures: number;
    /** The monotonic time before which no further attempt is made. */
    notBefore: number;
    issued: boolean;
}

/** Failure codes that mean the target cannot load the model version. */
const refusalCodes: readonly number[] = [resourceCodes.insufficientCapacity.number, requestCodes.engineFailed.number];
const maxRetryDelay = 60_000;
const maxTrackedOrders = 4096;
const unknownCodes: readonly number[] = [
    transportCodes.connectionLost.number,
    transportCodes.requestTimeout.number,
    transportCodes.protocolViolation.number,
];

/**
 * Sends the orders of a duty. Sending a wanted order is idempotent: nothing is sent while an attempt is in flight, and
 * after an unknown outcome the same order is sent again with the same id. Only a definite failure, or a report that
 * shows that the effect was undone, creates a new order.
 *
 * @public
 */
export class OrderSender {
    private readonly options: Required<OrderSenderOptions>;
    private readonly progress = new Map<string, Progress>();
    /** Orders that may still take effect, by target. */
    private readonly open = new Map<string, Set<Progress>>();
    /** The monotonic time at which the outcome of the last order to each target became known. */
    private readonly settled = new Map<string, number>();
    private readonly refusals: Refusals;

    constructor(options: OrderSenderOptions) {
        const noop = () => undefined;
        const defaults = { record: noop, retryDelay: 5_000, onStaleFence: noop, onFailure: noop };
        this.options = withDefaults(defaults, options);
        this.refusals = new Refusals(options.clock);
    }

    /**
     * Sends an order if the lease is held and no earlier attempt makes it unnecessary. Does not wait for the result.
     */
    send(lease: Lease, wanted: WantedOrder): void {
        const progress = this.findOrCreate(orderId({ ...wanted, attempt: 0 }), wanted);
        if (this.isDue(progress, wanted)) {
            this.sendAttempt(lease, progress);
        }
    }

    /**
     * Returns the time after which reports of a target show the effect of every order sent to it so far.
     *
     * @returns A monotonic time, or undefined while some order may still take effect.
     */
    settledSince(target: string, incarnation: string): number | undefined {
        const open = [...this.open.get(target) ?? []];
        return open.some(({ wanted }) => wanted.incarnation === incarnation)
            ? undefined
            : this.settled.get(target) ?? -Infinity;
    }

    /** Returns the model versions that a target has recently and repeatedly refused to load. */
    refusedBy(target: string): readonly RefusedVersion[] {
        return this.refusals.listFor(target);
    }

    /**
     * Resends every order whose outcome is unknown, including those no longer wanted, since a lost order can still
     * arrive. The repeat has the same id, so whichever arrives second has no effect.
     *
     * @param isCurrent - Checks whether an incarnation of an agent is the current one; orders to others never arrive.
     */
    resendUnresolved(lease: Lease, isCurrent: (target: string, incarnation: string) => boolean): void {
        const open = [...this.open.values()].flatMap(orders => [...orders]);
        for (const progress of open.filter(({ pending }) => !pending)) {
            if (isCurrent(progress.wanted.target, progress.wanted.incarnation)) {
                this.sendAttempt(lease, progress);
            }
            else {
                this.close(progress);
            }
        }
    }

    /** Discards all state. Must be called when the duty has a new holder. */
    clear(): void {
        this.progress.clear();
        this.open.clear();
        this.settled.clear();
        this.refusals.clear();
    }

    private sendAttempt(lease: Lease, progress: Progress): void {
        const { wanted, attempt } = progress;
        const id = orderId({ ...wanted, attempt });
        void lease.checked(fence => this.issue({ id, fence, action: wanted.action }, progress));
    }

    private findOrCreate(key: string, wanted: WantedOrder): Progress {
        const known = this.progress.get(key);
        if (known !== undefined) {
            return known;
        }
        const progress: Progress = {
            wanted,
            attempt: 0,
            pending: false,
            appliedAt: undefined,
            failures: 0,
            notBefore: 0,
            issued: false,
        };
        this.progress.set(key, progress);
        this.evictOldest();
        return progress;
    }

    private evictOldest(): void {
        for (const [key, progress] of this.progress) {
            if (this.progress.size <= maxTrackedOrders) {
                return;
            }
            if (!this.open.get(progress.wanted.target)?.has(progress)) {
                this.progress.delete(key);
            }
        }
    }

    private isDue(progress: Progress, { observedAt }: WantedOrder): boolean {
        if (progress.pending || this.options.clock.now() < progress.notBefore) {
            return false;
        }
        if (progress.appliedAt === undefined) {
            return true;
        }
        if (observedAt <= progress.appliedAt) {
            return false;
        }
        // The report was requested after the order was applied, so the effect must have been undone in between.
        this.startNewAttempt(progress);
        return true;
    }

    private startNewAttempt(progress: Progress): void {
        progress.attempt++;
        progress.appliedAt = undefined;
        progress.issued = false;
    }

    private async issue(order: Order, progress: Progress): Promise<Outcome<void>> {
        const { target, incarnation } = progress.wanted;
        progress.pending = true;
        this.open.set(target, (this.open.get(target) ?? new Set()).add(progress));
        if (!progress.issued) {
            this.options.record({ event: "order.issued", order: order.id, fence: order.fence, target });
            progress.issued = true;
        }
        const outcome = await this.options.targets.order(target, incarnation, order);
        progress.pending = false;
        if (outcome.isOk) {
            this.close(progress);
            this.refusals.recordResult(target, order.action, false);
            progress.appliedAt = this.options.clock.now();
            progress.failures = 0;
        }
        else {
            this.handleFailure(order, progress, outcome.error);
        }
        return outcome;
    }

    /** Marks an order as unable to take effect any more. */
    private close(progress: Progress): void {
        const { target } = progress.wanted;
        const orders = this.open.get(target);
        orders?.delete(progress);
        if (orders?.size === 0) {
            this.open.delete(target);
        }
        this.settled.set(target, this.options.clock.now());
    }

    private handleFailure(order: Order, progress: Progress, reason: Failure): void {
        const isUnknown = unknownCodes.includes(reason.code.number);
        this.options.onFailure(order, progress.wanted.target, reason);
        if (isUnknown) {
            return;
        }
        this.close(progress);
        if (refusalCodes.includes(reason.code.number)) {
            this.refusals.recordResult(progress.wanted.target, order.action, true);
        }
        if (reason.code === platformCodes.staleFence) {
            this.options.onStaleFence();
        }
        const delay = Math.min(maxRetryDelay, this.options.retryDelay * 2 ** progress.failures);
        progress.notBefore = this.options.clock.now() + (reason.retryAfter ?? delay);
        progress.failures++;
        this.startNewAttempt(progress);
    }
}
