import { type EngineInfo, FakeEngine, type Order } from "@waxwingspar/engine";
import { type HistoryEvent } from "@waxwingspar/history";
import { type Clock, failure, type Outcome, platformCodes, requestCodes, transportCodes } from "@waxwingspar/utils";
import { Result } from "true-myth";
import { type Observation, type TargetReport } from "../orders/TargetPort.js";

/** @internal */
export interface TestTargetOptions {
    readonly name: string;
    readonly clock: Clock;
    readonly memory: number;
    readonly loadRate: number;
    readonly readFence: () => Promise<Outcome<number>>;
    readonly record: (event: HistoryEvent, incarnation: string) => void;
}

/**
 * A simulated target: an engine that does not check fences, and its agent, which does. Both can fail and restart.
 *
 * @internal
 */
export class TestTarget {
    alive = true;
    /** The monotonic time of the last loss or restart. */
    changedAt = -Infinity;
    starts = 1;
    /** Number of unloads of a version in use, which must stay 0. */
    interrupted = 0;
    failsLoads = false;
    engine: FakeEngine;
    private streams: { readonly model: string; readonly version: string; readonly end: number; }[] = [];
    private fence: number | undefined;
    private results = new Map<string, Promise<Outcome<void>>>();

    constructor(readonly options: TestTargetOptions) {
        this.engine = this.createEngine();
    }

    get incarnation(): string {
        return `${this.options.name}-${this.starts}`;
    }

    /** Restarts the agent without its state, and the engine as well unless it is kept. */
    restart(keepsEngine: boolean): void {
        this.starts++;
        this.alive = true;
        this.changedAt = this.options.clock.now();
        this.fence = undefined;
        this.results = new Map();
        this.engine = keepsEngine ? this.engine : this.createEngine();
        this.streams = keepsEngine ? this.streams : [];
    }

    die(): void {
        this.alive = false;
        this.changedAt = this.options.clock.now();
    }

    startStream(model: string, version: string, duration: number): void {
        this.streams.push({ model, version, end: this.options.clock.now() + duration });
    }

    inUse(): TargetReport["inUse"] {
        this.streams = this.streams.filter(({ end }) => end > this.options.clock.now());
        return this.streams.map(({ model, version }) => ({ model, version }));
    }

    async info(): Promise<EngineInfo> {
        return (await this.engine.info()).unwrapOrElse(error => {
            throw new Error(error.message);
        });
    }

    async holds(version: string, layers: { readonly first: number; readonly last: number; }): Promise<boolean> {
        const { held } = await this.info();
        return held.some(range => (
            range.version === version && range.first <= layers.first && layers.last <= range.last
        ));
    }

    async observe(fence: number): Promise<Outcome<Observation>> {
        const refused = await this.refusal(fence);
        const { incarnation } = this;
        return refused === undefined
            ? Result.ok({ incarnation, info: await this.info(), inUse: this.inUse() })
            : Result.err(refused);
    }

    async order(incarnation: string, order: Order): Promise<Outcome<void>> {
        if (!this.alive || incarnation !== this.incarnation) {
            return Result.err(failure(transportCodes.notConnected, "another start"));
        }
        const refused = await this.refusal(order.fence);
        if (refused !== undefined) {
            return Result.err(refused);
        }
        const known = this.results.get(order.id);
        if (known !== undefined) {
            return known;
        }
        const result = this.apply(order);
        this.results.set(order.id, result);
        return result;
    }

    private async refusal(fence: number) {
        if (!this.alive) {
            return failure(transportCodes.notConnected, "dead");
        }
        if (this.fence === undefined) {
            const learned = await this.options.readFence();
            if (learned.isErr) {
                return learned.error;
            }
            this.fence ??= learned.value;
        }
        if (fence < this.fence) {
            return failure(platformCodes.staleFence, "old fence");
        }
        this.fence = fence;
        return undefined;
    }

    private apply(order: Order): Promise<Outcome<void>> {
        const { action, id, fence } = order;
        this.options.record({ event: "order.applied", order: id, fence, target: this.options.name }, this.incarnation);
        if (action.kind === "load" && this.failsLoads) {
            return Promise.resolve(Result.err(failure(requestCodes.engineFailed, "no such weights")));
        }
        if (action.kind === "unload") {
            const used = this.inUse().some(({ model, version }) => (
                model === action.model && version === action.version
            ));
            this.interrupted += used ? 1 : 0;
        }
        return this.engine.order(order);
    }

    private createEngine(): FakeEngine {
        return new FakeEngine({ ...this.options, checksFence: false });
    }
}
