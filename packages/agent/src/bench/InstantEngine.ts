import {
    type CacheEvent,
    type Engine,
    type EngineInfo,
    type EngineLoad,
    type Step,
    type StepResult,
} from "@waxwingspar/engine";
import { type Outcome } from "@waxwingspar/utils";
import { Result } from "true-myth";

/** Size of the activations of one position, in bytes. */
const activationBytes = 16_384;

const activations = new Uint8Array(activationBytes);

/**
 * An engine that answers immediately and computes nothing, so that benchmarks measure only the agent's own work.
 *
 * @internal
 */
export class InstantEngine implements Engine {
    constructor(private readonly first: number, private readonly last: number, private readonly layers: number) {}

    info(): Promise<Outcome<EngineInfo>> {
        const { first, last } = this;
        return Promise.resolve(Result.ok({
            slots: 1024,
            held: [{ model: "demo", version: "1", first, last, adapters: [] }],
            memory: 1,
            freeMemory: 1,
            role: "serving",
            checksFence: true,
        }));
    }

    tokenize(): Promise<Outcome<number[]>> {
        return Promise.resolve(Result.ok([1, 2, 3, 4]));
    }

    open(): Promise<Outcome<{ cached: number; }>> {
        return Promise.resolve(Result.ok({ cached: 0 }));
    }

    step({ sample }: Step): Promise<Outcome<StepResult>> {
        const drawn = sample && this.last === this.layers - 1;
        return Promise.resolve(Result.ok(drawn ? { token: 7, text: " word", end: false } : { activations }));
    }

    close(): Promise<void> {
        return Promise.resolve();
    }

    exportCache(): Promise<Outcome<{ positions: number; data: Uint8Array; }>> {
        return Promise.resolve(Result.ok({ positions: 0, data: new Uint8Array(0) }));
    }

    importCache(): Promise<Outcome<{ positions: number; }>> {
        return Promise.resolve(Result.ok({ positions: 0 }));
    }

    load(): Promise<Outcome<EngineLoad>> {
        return Promise.resolve(Result.ok({ running: 0, waiting: 0, cacheUse: 0, age: 0 }));
    }

    cacheEvents(): Promise<Outcome<CacheEvent[]>> {
        return Promise.resolve(Result.ok([]));
    }

    order(): Promise<Outcome<void>> {
        return Promise.resolve(Result.ok<void, never>(undefined));
    }
}
