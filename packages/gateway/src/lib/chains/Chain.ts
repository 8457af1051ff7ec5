import { type Hop } from "../requests/messages.js";

/** Targets that together run every layer once and in order. */
export interface Chain {
    /** The targets and ranges as one text. */
    readonly key: string;
    /** The data centre of the first target. */
    readonly dataCentre: string;
    /** How often a request's activations go from one data centre to another. */
    readonly crossings: number;
    /** Usual requests whose KV cache all its targets have room for. */
    readonly room: number;
    /** How many times longer than its accelerator should the slowest of its targets takes. */
    readonly slowdown: number;
    readonly hops: readonly Hop[];
}
