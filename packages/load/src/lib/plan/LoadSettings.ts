/** For whom calls are made. @public */
export interface LoadCaller {
    readonly name: string;
    /** The bearer token; without one the call is anonymous. */
    readonly token?: string;
}

/**
 * What load to make. Everything that is sent, and when, follows from these values alone.
 *
 * @public
 */
export interface LoadSettings {
    /** Calls that arrive in a second, on average. */
    readonly rate: number;
    /** Seconds over which calls arrive. */
    readonly duration: number;
    readonly seed: number;
    readonly model: string;
    /** Words of each prompt; how many tokens these are is the model's affair. */
    readonly promptTokens: number;
    readonly maxTokens: number;
    /** Share of the words of each prompt that all prompts begin with, from 0 to 1. */
    readonly sharedPrefix: number;
    /** The calls take these in turn, by chance. At least one. */
    readonly callers: readonly LoadCaller[];
    /** Share of the calls that go to the plain service, from 0 to 1. */
    readonly serviceShare: number;
    /** Name and path of the plain service, such as `records/work-orders`. */
    readonly service: string;
}

/** A call of the plan. @public */
export interface PlannedCall {
    /** Milliseconds from the start of the run. */
    readonly at: number;
    readonly kind: "model" | "service";
    readonly caller: LoadCaller;
    readonly path: string;
    /** JSON; absent for a call of the plain service, which is a GET. */
    readonly body?: string;
}
