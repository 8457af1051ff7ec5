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
import { guarded } from "../guarded.js";

/** The JSON-RPC method that takes an order. @internal */
export const orderMethodName = "order.apply";

/** Results of orders that are remembered for repeats. */
const rememberedOrders = 1024;

/** Milliseconds after which a duty may ask again for what requests still run on. */
const inUseRetryAfter = 1000;

/** @internal */
export interface OrderGateOptions {
    readonly target: string;
    readonly engine: Engine;
    readonly clock: Clock;
    readonly record: HistoryRecorder;
    readonly log: Logger;
    /** Reads the highest fence that was ever issued for this target, from the store. */
    readonly readFence: () => Promise<Outcome<number>>;
    /** Milliseconds until the fence is read again after a failure. */
    readonly retryDelay: number;
    /** The model versions that requests run on or wait for at this agent. */
    readonly inUse: () => readonly ModelVersion[];
    /** Runs after an order has changed the engine. */
    readonly applied: () => Promise<unknown>;
}

/**
 * The only way by which orders reach the engine. It lets no order pass with a fence below the highest seen, also across
 * a restart of the agent, and carries out each order once.
 *
 * @internal
 */
export class OrderGate {
    private fence: number | undefined;
    private reading: Promise<void> | undefined;
    private timer: Timer | undefined;
    private stopped = false;
    private readonly results = new Map<string, Promise<Outcome<void>>>();
    private readonly recorded = new Set<string>();
    /** Orders run one after the other, since each may change what the next one meets. */
    private last: Promise<unknown> = Promise.resolve();

    constructor(private readonly options: OrderGateOptions) {}

    /** The highest fence seen; undefined until it has been read back. */
    get highestFence(): number | undefined {
        return this.fence;
    }

    /** Reads the fence back, again and again until that succeeds. Until then every order is refused. */
    start(): Promise<void> {
        this.reading ??= this.readBack();
        return this.reading;
    }

    stop(): void {
        this.stopped = true;
        this.timer?.cancel();
    }

    /** Notes a fence; from then on no older order passes. */
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

    /** Carries out an order, or gives the result of the same order again. */
    apply(order: Order): Promise<Outcome<void>> {
        const known = this.results.get(order.id);
        if (known !== undefined) {
            return known;
        }
        // From here on no older order passes, although this one may still wait for its turn.
        const noted = this.noteFence(order.fence);
        if (noted.isErr) {
            return Promise.resolve(noted);
        }
        const result = this.last.then(() => this.run(order));
        this.last = result;
        this.remember(order.id, result);
        return result;
    }

    /** The JSON-RPC method that takes orders. */
    createMethod(): RpcMethod {
        return async (params, link) => {
            if (link.peer.role === "tool") {
                return Result.err(failure(requestCodes.forbidden, "tools give no orders"));
            }
            const order = orderSchema.safeParse(params);
            if (!order.success) {
                return Result.err(failure(requestCodes.malformed, "not an order"));
            }
            return this.apply(order.data);
        };
    }

    private async run(order: Order): Promise<Outcome<void>> {
        const { engine, record, target, applied, log } = this.options;
        // A newer holder's order may have come while this one waited.
        if (this.stopped || order.fence < (this.fence ?? 0)) {
            return staleFence(order.fence, this.fence ?? 0);
        }
        if (this.takesFromRequests(order)) {
            log.info({ order: order.id, kind: order.action.kind }, "orders: refused, since requests still run");
            return inUse();
        }
        if (!this.recorded.has(order.id)) {
            this.remembered(order.id);
            record({ event: "order.applied", order: order.id, fence: order.fence, target });
        }
        const outcome = await guarded(() => engine.order(order));
        const code = outcome.isErr ? outcome.error.code.number : undefined;
        log.info({ order: order.id, kind: order.action.kind, fence: order.fence, code }, "orders: carried out");
        await applied();
        if (outcome.isErr && outcome.error.code.execution === "unknown") {
            // Only the engine can tell whether it was carried out; a repeat asks it again, under the same id.
            this.results.delete(order.id);
        }
        return outcome;
    }

    /** Whether requests run on what the order would take away. This is the last look before the engine has the order. */
    private takesFromRequests({ action }: Order): boolean {
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
            if (this.results.size <= rememberedOrders) {
                return;
            }
            this.results.delete(oldest);
        }
    }

    private remembered(id: string): void {
        this.recorded.add(id);
        if (this.recorded.size > rememberedOrders) {
            const [oldest = id] = this.recorded;
            this.recorded.delete(oldest);
        }
    }

    private notReady(): Failure {
        const details = { retryAfter: this.options.retryDelay };
        return failure(platformCodes.storeUnavailable, "the fence has not been read back yet", details);
    }

    private async readBack(): Promise<void> {
        const fence = await this.options.readFence();
        if (fence.isOk) {
            this.fence = Math.max(fence.value, this.fence ?? 0);
            return;
        }
        this.reading = undefined;
        if (!this.stopped) {
            this.timer?.cancel();
            this.timer = this.options.clock.schedule(() => void this.start(), this.options.retryDelay);
        }
    }
}

function staleFence(fence: number, highest: number): Outcome<void> {
    return Result.err(failure(platformCodes.staleFence, `fence ${fence} is below ${highest}`));
}

function inUse(): Outcome<void> {
    return Result.err(failure(platformCodes.inUse, "requests still run on it", { retryAfter: inUseRetryAfter }));
}
