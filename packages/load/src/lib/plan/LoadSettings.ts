/** A caller in whose name calls are made. @public */
export interface LoadCaller {
    readonly name: string;
    /** The bearer token; calls without one are anonymous. */
    readonly token?: string;
}

/**
 * The load to generate. These values alone determine what is sent and when.
 *
 * @public
 */
export interface LoadSettings {
    /** Mean arrival rate, in calls per second. */
    readonly rate: number;
    /** Seconds during which calls arrive. */
    readonly duration: number;
    readonly seed: number;
    readonly model: string;
    /** Number of words in each prompt; how many tokens they make depends on the model. */
    readonly promptTokens: number;
    readonly maxTokens: number;
    /** Fraction of each prompt's words that form a prefix shared by all prompts, from 0 to 1. */
    readonly sharedPrefix: number;
    /** Each call uses one of these, chosen at random. At least one. */
    readonly callers: readonly LoadCaller[];
    /** Fraction of the calls that go to the plain service, from 0 to 1. */
    readonly serviceShare: number;
    /** Name and path of the plain service, such as `records/work-orders`. */
    readonly service: string;
}

/** A planned call. @public */
export interface PlannedCall {
    /** Milliseconds from the start of the run. */
    readonly at: number;
    readonly kind: "model" | "service";
    readonly caller: LoadCaller;
    readonly path: string;
    /** JSON; absent for a call of the plain service, which is a GET. */
    readonly body?: string;
}
