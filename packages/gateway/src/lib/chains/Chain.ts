import { type Hop } from "../requests/messages.js";

/** Targets of one data centre that together run every layer once and in order. */
export interface Chain {
    /** The targets and ranges as one text. */
    readonly key: string;
    readonly dataCentre: string;
    readonly hops: readonly Hop[];
}
