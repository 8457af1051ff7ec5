import { type Order } from "@waxwingspar/engine";
import { type HistoryRecorder } from "@waxwingspar/history";
import { type Clock, type Failure, type Outcome, platformCodes, transportCodes } from "@waxwingspar/utils";
import { type Lease } from "../leases/Lease.js";
import { withDefaults } from "../support/withDefaults.js";
import { orderId } from "./orderId.js";
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

/** @public */
export interface OrderSenderOptions {
    readonly clock: Clock;
    readonly targets: TargetPort;
    readonly record?: HistoryRecorder;
    /** Milliseconds to wait after a definite failure before the next try. */
    readonly retryDelay?: number;
    /** Is told that an order was refused for its fence: another process has taken the duty over. */
    readonly onStaleFence?: () => void;
    /** Is told of every other failure, for logs. */
    readonly onFailure?: (order: Order, target: string, failure: Failure) => void;
}

/** What is known of the tries of one wanted order. */
interface Progress {
    attempt: number;
    pending: boolean;
    /** When the last try was known to be carried out. */
    appliedAt: number | undefined;
    /** No further try before this time. */
    notBefore: number;
    issued: boolean;
}

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

    constructor(options: OrderSenderOptions) {
        const nothing = () => undefined;
        const defaults = { record: nothing, retryDelay: 5_000, onStaleFence: nothing, onFailure: nothing };
        this.options = withDefaults(defaults, options);
    }

    /** How many orders are on their way. */
    get pending(): number {
        return [...this.progress.values()].filter(({ pending }) => pending).length;
    }

    /**
     * Sends an order if the lease is held and no earlier try makes it needless. Does not wait for its end.
     */
    send(lease: Lease, wanted: WantedOrder): void {
        const { target, incarnation, action } = wanted;
        const identity = { target, incarnation, action };
        const progress = this.find(orderId({ ...identity, attempt: 0 }));
        if (!this.isDue(progress, wanted)) {
            return;
        }
        const id = orderId({ ...identity, attempt: progress.attempt });
        void lease.checked(fence => this.issue({ id, fence, action }, wanted, progress));
    }

    /** Forgets everything. To be called when the duty has changed hands. */
    clear(): void {
        this.progress.clear();
    }

    private find(key: string): Progress {
        const known = this.progress.get(key);
        if (known !== undefined) {
            return known;
        }
        const progress: Progress = { attempt: 0, pending: false, appliedAt: undefined, notBefore: 0, issued: false };
        this.progress.set(key, progress);
        this.forgetOldest();
        return progress;
    }

    private forgetOldest(): void {
        for (const [key, { pending }] of this.progress) {
            if (this.progress.size <= rememberedOrders) {
                return;
            }
            if (!pending) {
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

    private async issue(
        order: Order,
        { target, incarnation }: WantedOrder,
        progress: Progress,
    ): Promise<Outcome<void>> {
        progress.pending = true;
        if (!progress.issued) {
            this.options.record({ event: "order.issued", order: order.id, fence: order.fence, target });
            progress.issued = true;
        }
        const outcome = await this.options.targets.order(target, incarnation, order);
        progress.pending = false;
        if (outcome.isOk) {
            progress.appliedAt = this.options.clock.now();
        }
        else {
            this.takeFailure(order, target, progress, outcome.error);
        }
        return outcome;
    }

    private takeFailure(order: Order, target: string, progress: Progress, reason: Failure): void {
        if (reason.code === platformCodes.staleFence) {
            this.options.onStaleFence();
            return;
        }
        this.options.onFailure(order, target, reason);
        if (!unknownCodes.includes(reason.code.number)) {
            progress.notBefore = this.options.clock.now() + (reason.retryAfter ?? this.options.retryDelay);
            this.startNewAttempt(progress);
        }
    }
}
