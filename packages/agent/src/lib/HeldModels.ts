import { type Engine, type EngineInfo } from "@waxwingspar/engine";
import { type Failure, failure, type Outcome, requestCodes } from "@waxwingspar/utils";
import { callEngine } from "./callEngine.js";

/** The layers of a model version that a request needs. @internal */
export interface NeededLayers {
    readonly model: string;
    readonly version: string;
    readonly adapter?: string;
    readonly first: number;
    readonly last: number;
}

/**
 * Caches the models that the engine holds. The engine is queried again after each order, and when a request needs
 * layers that it did not hold before, since they may have been loaded by other means than an order.
 *
 * @internal
 */
export class HeldModels {
    private info: EngineInfo | undefined;
    private pending: Promise<Outcome<EngineInfo>> | undefined;

    constructor(private readonly engine: Engine) {}

    /** Number of requests that the engine runs in one batch; 1 until the engine has been queried. */
    get slots(): number {
        return this.info?.slots ?? 1;
    }

    /** Queries the engine. Concurrent calls share one query. */
    refresh(): Promise<Outcome<EngineInfo>> {
        this.pending ??= this.queryEngine();
        return this.pending;
    }

    /** Returns true if the engine held the layers when it was last queried. */
    holds(needed: NeededLayers): boolean {
        return this.info?.held.some(held =>
            held.model === needed.model
            && held.version === needed.version
            && held.first <= needed.first
            && held.last >= needed.last
            && (needed.adapter === undefined || held.adapters.includes(needed.adapter))
        ) === true;
    }

    /** Returns undefined if the engine holds the layers, else a failure. Queries the engine if the cache lacks them. */
    async check(needed: NeededLayers): Promise<Failure | undefined> {
        if (this.holds(needed)) {
            return undefined;
        }
        const info = await this.refresh();
        if (info.isErr) {
            return failure(requestCodes.noCapacity, `the engine does not answer: ${info.error.message}`);
        }
        return this.holds(needed) ? undefined : failure(requestCodes.wrongTarget, describe(needed));
    }

    private async queryEngine(): Promise<Outcome<EngineInfo>> {
        const outcome = await callEngine(() => this.engine.info());
        this.pending = undefined;
        if (outcome.isOk) {
            this.info = outcome.value;
        }
        return outcome;
    }
}

function describe({ model, version, adapter, first, last }: NeededLayers): string {
    const suffix = adapter === undefined ? "" : ` with adapter ${adapter}`;
    return `the engine does not hold ${model} ${version}${suffix}, layers ${first} to ${last}`;
}
