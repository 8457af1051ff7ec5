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
 * An order that a duty wants to be carried out.
 *
 * @public
 */
export interface WantedOrder {
    readonly target: string;
    /** The start of the agent whose report showed that the order is needed. */
    readonly incarnation: string;
    /** The monotonic time at which that report was asked for. */
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
    /** Milliseconds to wait after a definite failure before the next try; doubled with each further failure. */
    readonly retryDelay?: number;
    /** Is told that an order was refused for its fence: another process has taken the duty over. */
    readonly onStaleFence?: () => void;
    /** Is told of every other failure, for logs. */
    readonly onFailure?: (order: Order, target: string, failure: Failure) => void;
}

/** What is known of the tries of one wanted order. */
interface Progress {
    readonly wanted: WantedOrder;
    attempt: number;
    pending: boolean;
    /** When the last try was known to be carried out. */
    appliedAt: number | undefined;
    /** Definite failures in a row. */
    failures: number;
    /** No further try before this time. */
    notBefore: number;
    issued: boolean;
}

/** Failures that say something about the load itself. */
const refusalCodes: readonly number[] = [resourceCodes.insufficientCapacity.number, requestCodes.engineFailed.number];
const maxRetryDelay = 60_000;
const rememberedOrders = 4096;
const unknownCodes: readonly number[] = [
    transportCodes.connectionLost.number,
    transportCodes.requestTimeout.number,
    transportCodes.protocolViolation.number,
];

/**
 * Sends the orders of a duty. Asking for an order again is harmless: while a try is on its way nothing is sent, after
 * an unknown outcome the same order is sent again under the same id, and only a definite failure, or a report that
 * shows that the effect is gone, makes a new order.
 *
 * @public
 */
export class OrderSender {
    private readonly options: Required<OrderSenderOptions>;
    private readonly progress = new Map<string, Progress>();
    /** Orders that may still take effect, by target. */
    private readonly open = new Map<string, Set<Progress>>();
    /** When the last order to each target came to a known end. */
    private readonly settled = new Map<string, number>();
    private readonly refusals: Refusals;

    constructor(options: OrderSenderOptions) {
        const nothing = () => undefined;
        const defaults = { record: nothing, retryDelay: 5_000, onStaleFence: nothing, onFailure: nothing };
        this.options = withDefaults(defaults, options);
        this.refusals = new Refusals(options.clock);
    }

    /**
     * Sends an order if the lease is held and no earlier try makes it needless. Does not wait for its end.
     */
    send(lease: Lease, wanted: WantedOrder): void {
        const progress = this.find(orderId({ ...wanted, attempt: 0 }), wanted);
        if (this.isDue(progress, wanted)) {
            this.sendAttempt(lease, progress);
        }
    }

    /**
     * Tells from when on reports of a target show the effect of every order sent to it so far.
     *
     * @returns Undefined while some order may still take effect.
     */
    settledSince(target: string, incarnation: string): number | undefined {
        const open = [...this.open.get(target) ?? []];
        return open.some(({ wanted }) => wanted.incarnation === incarnation)
            ? undefined
            : this.settled.get(target) ?? -Infinity;
    }

    /** The versions that a target has refused to load several times, not long ago. */
    refusedBy(target: string): readonly RefusedVersion[] {
        return this.refusals.of(target);
    }

    /**
     * Sends every order of unknown outcome again, also those no longer wanted, since a lost order can still arrive. The
     * repeat has the same id, so that whichever arrives later has no effect.
     *
     * @param isCurrent - Tells whether a start of an agent is still the one in place; orders to others never arrive.
     */
    resolve(lease: Lease, isCurrent: (target: string, incarnation: string) => boolean): void {
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

    /** Forgets everything. To be called when the duty has changed hands. */
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

    private find(key: string, wanted: WantedOrder): Progress {
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
        this.forgetOldest();
        return progress;
    }

    private forgetOldest(): void {
        for (const [key, progress] of this.progress) {
            if (this.progress.size <= rememberedOrders) {
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
        // The report is younger than the effect, which must have been undone since.
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
            this.refusals.note(target, order.action, false);
            progress.appliedAt = this.options.clock.now();
            progress.failures = 0;
        }
        else {
            this.takeFailure(order, progress, outcome.error);
        }
        return outcome;
    }

    /** Notes that an order can no longer take effect. */
    private close(progress: Progress): void {
        const { target } = progress.wanted;
        const orders = this.open.get(target);
        orders?.delete(progress);
        if (orders?.size === 0) {
            this.open.delete(target);
        }
        this.settled.set(target, this.options.clock.now());
    }

    private takeFailure(order: Order, progress: Progress, reason: Failure): void {
        const isUnknown = unknownCodes.includes(reason.code.number);
        this.options.onFailure(order, progress.wanted.target, reason);
        if (isUnknown) {
            return;
        }
        this.close(progress);
        if (refusalCodes.includes(reason.code.number)) {
            this.refusals.note(progress.wanted.target, order.action, true);
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
