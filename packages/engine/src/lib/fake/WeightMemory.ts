import {
    type Clock,
    type Failure,
    failure,
    type Outcome,
    platformCodes,
    requestCodes,
    resourceCodes,
    sleep,
} from "@waxwingspar/utils";
import { Result } from "true-myth";
import { type EngineInfo, type HeldLayers, type Order, type Session } from "../Engine.js";

/** Layers that a fake engine holds initially. @public */
export interface InitialLayers extends Omit<HeldLayers, "adapters"> {
    readonly adapters?: readonly string[];
    /** Bytes of memory that the layers occupy; 0 by default. */
    readonly bytes?: number;
}

/** @internal */
export interface WeightMemoryOptions {
    readonly clock: Clock;
    readonly held: readonly InitialLayers[];
    readonly memory: number;
    /** Bytes of weights loaded per second. */
    readonly loadRate: number;
    readonly checksFence: boolean;
    /** Called when a version has been unloaded. */
    readonly unloaded: (model: string, version: string) => void;
}

interface LoadedLayers extends HeldLayers {
    bytes: number;
}

interface PendingLoad {
    readonly action: LoadAction;
    readonly outcome: Promise<Outcome<void>>;
}

type LoadAction = Extract<Order["action"], { kind: "load"; }>;

const millisecondsPerSecond = 1000;

const done: Outcome<void> = Result.ok<void, Failure>(undefined);

/**
 * The weight memory of a fake engine. It executes the orders that change weights, adapters and role.
 *
 * @internal
 */
export class WeightMemory {
    private readonly loaded: LoadedLayers[];
    private readonly orders = new Map<string, Promise<Outcome<void>>>();
    /** Loads in progress. */
    private readonly loading = new Set<PendingLoad>();
    private role: EngineInfo["role"] = "serving";
    private highestFence: number | undefined;

    constructor(private readonly options: WeightMemoryOptions) {
        this.loaded = options.held.map(({ adapters = [], bytes = 0, ...layers }) => ({
            ...layers,
            adapters: [...adapters],
            bytes,
        }));
    }

    info(): Omit<EngineInfo, "slots"> {
        return {
            held: this.loaded.map(({ model, version, first, last, adapters }) => (
                { model, version, first, last, adapters: [...adapters] }
            )),
            memory: this.options.memory,
            freeMemory: this.freeMemory(),
            role: this.role,
            checksFence: this.options.checksFence,
            ...(this.options.checksFence && this.highestFence !== undefined ? { fence: this.highestFence } : {}),
        };
    }

    /** Whether the engine's role, layers and adapters allow a session. */
    serves(session: Session): boolean {
        return this.role !== "idle"
            && this.loaded.some(held =>
                held.model === session.model && held.version === session.version
                && held.first <= session.first && session.last <= held.last
                && (session.adapter === undefined || held.adapters.includes(session.adapter))
            );
    }

    order(order: Order): Promise<Outcome<void>> {
        if (this.options.checksFence) {
            if (order.fence < (this.highestFence ?? order.fence)) {
                const message = `fence ${order.fence} is older than ${this.highestFence}`;
                return Promise.resolve(Result.err(failure(platformCodes.staleFence, message)));
            }
            this.highestFence = order.fence;
        }
        const known = this.orders.get(order.id);
        if (known !== undefined) {
            return known;
        }
        const outcome = this.apply(order.action);
        this.orders.set(order.id, outcome);
        void outcome.then(result => {
            // A failed order may be retried, for example once enough memory is free.
            if (result.isErr) {
                this.orders.delete(order.id);
            }
        });
        return outcome;
    }

    private apply(action: Order["action"]): Promise<Outcome<void>> {
        switch (action.kind) {
            case "load":
                return this.load(action);
            case "unload":
                return Promise.resolve(this.unload(action.model, action.version));
            case "loadAdapter":
                return Promise.resolve(this.changeAdapters(action.model, action.version, adapters => (
                    adapters.includes(action.adapter) ? adapters : [...adapters, action.adapter]
                )));
            case "unloadAdapter":
                return Promise.resolve(this.changeAdapters(action.model, action.version, adapters => (
                    adapters.filter(name => name !== action.adapter)
                )));
            case "setRole":
                this.role = action.role;
                return Promise.resolve(done);
        }
    }

    /** Loads layers, unless they are already held; joins a load in progress that covers them. */
    private load(action: LoadAction): Promise<Outcome<void>> {
        const { model, version, bytes } = action;
        if (this.loaded.some(held => matches(held, model, version) && covers(held, action))) {
            return Promise.resolve(done);
        }
        const joined = [...this.loading].find(other =>
            matches(other.action, model, version) && covers(other.action, action)
        );
        if (joined !== undefined) {
            return joined.outcome;
        }
        if (bytes > this.freeMemory()) {
            const message = `the layers need ${bytes} bytes of memory but only ${this.freeMemory()} are free`;
            return Promise.resolve(Result.err(failure(resourceCodes.insufficientCapacity, message)));
        }
        const loading: PendingLoad = { action, outcome: this.finishLoad(action, () => this.loading.delete(loading)) };
        this.loading.add(loading);
        return loading.outcome;
    }

    private async finishLoad(
        { model, version, first, last, bytes }: LoadAction,
        ended: () => void,
    ): Promise<Outcome<void>> {
        await sleep(this.options.clock, bytes / this.options.loadRate * millisecondsPerSecond);
        ended();
        this.loaded.push({ model, version, first, last, adapters: [], bytes });
        return done;
    }

    private unload(model: string, version: string): Outcome<void> {
        const kept = this.loaded.filter(held => !matches(held, model, version));
        if (kept.length < this.loaded.length) {
            this.loaded.splice(0, this.loaded.length, ...kept);
            this.options.unloaded(model, version);
        }
        return done;
    }

    private changeAdapters(
        model: string,
        version: string,
        change: (adapters: string[]) => string[],
    ): Outcome<void> {
        const versions = this.loaded.filter(held => matches(held, model, version));
        if (versions.length === 0) {
            return Result.err(failure(requestCodes.wrongTarget, `${model} ${version} is not loaded`));
        }
        for (const held of versions) {
            held.adapters = change(held.adapters);
        }
        return done;
    }

    private freeMemory(): number {
        const used = this.loaded.reduce((sum, held) => sum + held.bytes, 0);
        const loading = [...this.loading].reduce((sum, { action }) => sum + action.bytes, 0);
        return this.options.memory - used - loading;
    }
}

function matches(part: Pick<HeldLayers, "model" | "version">, model: string, version: string): boolean {
    return part.model === model && part.version === version;
}

function covers(part: LayerRange, wanted: LayerRange): boolean {
    return part.first <= wanted.first && wanted.last <= part.last;
}

type LayerRange = Pick<HeldLayers, "first" | "last">;
