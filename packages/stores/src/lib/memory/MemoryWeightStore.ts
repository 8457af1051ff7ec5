import { type Clock, failure, type Outcome, resourceCodes } from "@waxwingspar/utils";
import { Result } from "true-myth";
import { type WeightStore } from "../WeightStore.js";
import { FaultInjector } from "./FaultInjector.js";

/**
 * Options of a {@link MemoryWeightStore}.
 *
 * @public
 */
export interface MemoryWeightStoreOptions {
    readonly clock: Clock;
    /** The size of a layer of a model version in bytes, or undefined for a version that the store does not hold. */
    readonly layerSize: (model: string, version: string, layer: number) => number | undefined;
    /** The rate limit shared by all loads, in bytes per second. */
    readonly rate: number;
}

/**
 * An in-memory weight store for tests and trials.
 *
 * @public
 */
export class MemoryWeightStore implements WeightStore {
    readonly faults: FaultInjector;

    constructor(private readonly options: MemoryWeightStoreOptions) {
        this.faults = new FaultInjector(options.clock);
    }

    size(model: string, version: string, first: number, last: number): Promise<Outcome<number>> {
        return this.faults.run("read", () => this.sum(model, version, first, last));
    }

    rate(): Promise<Outcome<number>> {
        return this.faults.run("read", () => Result.ok(this.options.rate));
    }

    private sum(model: string, version: string, first: number, last: number): Outcome<number> {
        let total = 0;
        for (let layer = first; layer <= last; layer++) {
            const size = this.options.layerSize(model, version, layer);
            if (size === undefined) {
                const message = `no weights for layer ${layer} of ${model} ${version}`;
                return Result.err(failure(resourceCodes.noSuchResource, message));
            }
            total += size;
        }
        return Result.ok(total);
    }
}
