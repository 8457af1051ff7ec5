import { type Engine, type EngineInfo } from "@waxwingspar/engine";
import { type Failure, failure, type Outcome, requestCodes } from "@waxwingspar/utils";
import { guarded } from "./guarded.js";

/** A part of a model version that some work needs. @internal */
export interface NeededLayers {
    readonly model: string;
    readonly version: string;
    readonly adapter?: string;
    readonly first: number;
    readonly last: number;
}

/**
 * What the engine holds, as it last said. It is asked again after each order, and when work needs layers that it did
 * not hold: another way of loading may have put them there.
 *
 * @internal
 */
export class HeldModels {
    private info: EngineInfo | undefined;
    private pending: Promise<Outcome<EngineInfo>> | undefined;

    constructor(private readonly engine: Engine) {}

    /** Requests that the engine runs in one batch; 1 before it has been asked. */
    get slots(): number {
        return this.info?.slots ?? 1;
    }

    /** Asks the engine. Calls at the same time share one question. */
    refresh(): Promise<Outcome<EngineInfo>> {
        this.pending ??= this.ask();
        return this.pending;
    }

    /** Tells at once whether the engine is known to hold the layers. */
    holds(needed: NeededLayers): boolean {
        return this.info?.held.some(held =>
            held.model === needed.model
            && held.version === needed.version
            && held.first <= needed.first
            && held.last >= needed.last
            && (needed.adapter === undefined || held.adapters.includes(needed.adapter))
        ) === true;
    }

    /** Checks that the engine holds the layers, and asks it when it seems not to. Undefined means that it does. */
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

    private async ask(): Promise<Outcome<EngineInfo>> {
        const outcome = await guarded(() => this.engine.info());
        this.pending = undefined;
        if (outcome.isOk) {
            this.info = outcome.value;
        }
        return outcome;
    }
}

function describe({ model, version, adapter, first, last }: NeededLayers): string {
    const suffix = adapter === undefined ? "" : ` with adapter ${adapter}`;
    return `not held here: ${model} ${version}${suffix}, layers ${first} to ${last}`;
}
