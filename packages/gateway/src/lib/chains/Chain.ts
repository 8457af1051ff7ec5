import { type Hop } from "../requests/messages.js";

/** A sequence of targets that together run every layer exactly once and in order. */
export interface Chain {
    /** Identifies the chain: its targets, their incarnations and their layer ranges. */
    readonly key: string;
    /** The data centre of the first target. */
    readonly dataCentre: string;
    /** Number of hops from one data centre to another. */
    readonly crossings: number;
    /** Number of average requests whose KV cache fits into the memory of every target. */
    readonly room: number;
    /** Slowdown of its slowest target: the ratio of its step time to the expected time of its accelerator. */
    readonly slowdown: number;
    /**
     * Expected time of a step of all layers with the wait at each hop, relative to a full step on the reference
     * accelerator; undefined if unknown.
     */
    readonly pace?: number;
    readonly hops: readonly Hop[];
}
