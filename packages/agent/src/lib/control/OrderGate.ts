import { type Engine, type Order, orderSchema } from "@waxwingspar/engine";
import { type HistoryRecorder } from "@waxwingspar/history";
import { type RpcMethod } from "@waxwingspar/transport";
import {
    type Clock,
    type Failure,
    failure,
    type Outcome,
    platformCodes,
    requestCodes,
    type Timer,
} from "@waxwingspar/utils";
import { type Logger } from "pino";
import { Result } from "true-myth";
import { type ModelVersion } from "../AgentContext.js";
import { callEngine } from "../callEngine.js";

/** The name of the JSON-RPC method that applies an order. @internal */
export const orderMethodName = "order.apply";

/** Maximum number of order results that are remembered for repeated orders. */
const maxRememberedOrders = 1024;

/** Milliseconds after which an order that was refused because of running requests may be issued again. */
const inUseRetryAfter = 1000;

/** @internal */
export interface OrderGateOptions {
    readonly target: string;
    readonly engine: Engine;
    readonly clock: Clock;
    readonly record: HistoryRecorder;
    readonly log: Logger;
    /** Reads the highest fence ever issued for this target from the store. */
    readonly readFence: () => Promise<Outcome<number>>;
    /** Milliseconds after which a failed read of the fence is retried. */
    readonly retryDelay: number;
    /** Returns the model versions that running or queued requests of this agent use. */
    readonly inUse: () => readonly ModelVersion[];
    /** Called after the engine has handled an order. */
    readonly applied: () => Promise<unknown>;
}

/**
 * Checks and forwards all orders to the engine. It refuses orders with a fence below the highest one seen, also across
 * restarts of the agent, and executes each order once.
 *
 * @internal
 */
export class OrderGate {
    private fence: number | undefined;
    private fenceRead: Promise<void> | undefined;
    private timer: Timer | undefined;
    private stopped = false;
    private readonly results = new Map<string, Promise<Outcome<void>>>();
    private readonly recorded = new Set<string>();
    /** The last order. Orders run sequentially, since each may change the state that the next one depends on. */
    private last: Promise<unknown> = Promise.resolve();

    constructor(private readonly options: OrderGateOptions) {}

    /** The highest fence seen; undefined until it has been read from the store. */
    get highestFence(): number | undefined {
        return this.fence;
    }

    /** Reads the highest fence from the store, with retries. Until this succeeds every order is refused. */
    start(): Promise<void> {
        this.fenceRead ??= this.readStoredFence();
        return this.fenceRead;
    }

    stop(): void {
        this.stopped = true;
        this.timer?.cancel();
    }

    /** Records a fence; from then on, orders with a lower fence are refused. */
    noteFence(fence: number): Outcome<void> {
        if (this.fence === undefined) {
            void this.start();
            return Result.err(this.notReady());
        }
        if (fence < this.fence) {
            return staleFence(fence, this.fence);
        }
        this.fence = fence;
        return Result.ok(undefined);
    }

    /** Executes an order, or returns the result of an earlier order with the same id. */
    apply(order: Order): Promise<Outcome<void>> {
        const known = this.results.get(order.id);
        if (known !== undefined) {
            return known;
        }
        // From here on, orders with a lower fence are refused, although this one may still wait for its turn.
        const noted = this.noteFence(order.fence);
        if (noted.isErr) {
            return Promise.resolve(noted);
        }
        const result = this.last.then(() => this.run(order));
        this.last = result;
        this.remember(order.id, result);
        return result;
    }

    /** Creates the JSON-RPC method that applies orders. */
    createMethod(): RpcMethod {
        return async (params, link) => {
            if (link.peer.role === "tool") {
                return Result.err(failure(requestCodes.forbidden, "a peer with the role tool may not send orders"));
            }
            const order = orderSchema.safeParse(params);
            if (!order.success) {
                return Result.err(failure(requestCodes.malformed, "the parameters are not a valid order"));
            }
            return this.apply(order.data);
        };
    }

    private async run(order: Order): Promise<Outcome<void>> {
        const { engine, record, target, applied, log } = this.options;
        // An order with a higher fence may have arrived while this one waited.
        if (this.stopped || order.fence < (this.fence ?? 0)) {
            return staleFence(order.fence, this.fence ?? 0);
        }
        if (this.affectsRequests(order)) {
            log.info({ order: order.id, kind: order.action.kind }, "orders: refused, requests still use the model");
            return inUse();
        }
        if (!this.recorded.has(order.id)) {
            this.addRecorded(order.id);
            record({ event: "order.applied", order: order.id, fence: order.fence, target });
        }
        const outcome = await callEngine(() => engine.order(order));
        const code = outcome.isErr ? outcome.error.code.number : undefined;
        log.info({ order: order.id, kind: order.action.kind, fence: order.fence, code }, "orders: executed");
        await applied();
        if (outcome.isErr && outcome.error.code.execution === "unknown") {
            // Only the engine knows whether it executed the order, so a repeat is sent to it again under the same id.
            this.results.delete(order.id);
        }
        return outcome;
    }

    /** Checks whether the order would remove what requests use. The last check before the engine gets the order. */
    private affectsRequests({ action }: Order): boolean {
        const used = this.options.inUse();
        switch (action.kind) {
            case "unload":
                return used.some(({ model, version }) => model === action.model && version === action.version);
            case "setRole":
                return action.role !== "serving" && used.length > 0;
            default:
                return false;
        }
    }

    private remember(id: string, result: Promise<Outcome<void>>): void {
        this.results.set(id, result);
        for (const oldest of this.results.keys()) {
            if (this.results.size <= maxRememberedOrders) {
                return;
            }
            this.results.delete(oldest);
        }
    }

    private addRecorded(id: string): void {
        this.recorded.add(id);
        if (this.recorded.size > maxRememberedOrders) {
            const [oldest = id] = this.recorded;
            this.recorded.delete(oldest);
        }
    }

    private notReady(): Failure {
        const details = { retryAfter: this.options.retryDelay };
        return failure(
            platformCodes.storeUnavailable,
            "the highest fence has not been read from the store yet",
            details,
        );
    }

    private async readStoredFence(): Promise<void> {
        const fence = await this.options.readFence();
        if (fence.isOk) {
            this.fence = Math.max(fence.value, this.fence ?? 0);
            return;
        }
        this.fenceRead = undefined;
        if (!this.stopped) {
            this.timer?.cancel();
            this.timer = this.options.clock.schedule(() => void this.start(), this.options.retryDelay);
        }
    }
}

function staleFence(fence: number, highest: number): Outcome<void> {
    return Result.err(failure(platformCodes.staleFence, `fence ${fence} is below the highest fence ${highest}`));
}

function inUse(): Outcome<void> {
    return Result.err(
        failure(platformCodes.inUse, "running or queued requests still use it", { retryAfter: inUseRetryAfter }),
    );
}
