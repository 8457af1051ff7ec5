import { type Outcome } from "@waxwingspar/utils";

/**
 * The rate-limited store that engines load weights from.
 *
 * @public
 */
export interface WeightStore {
    /** The size of a range of layers of a model version, in bytes. */
    size(model: string, version: string, first: number, last: number): Promise<Outcome<number>>;
    /** The rate limit shared by all loads, in bytes per second. */
    rate(): Promise<Outcome<number>>;
}
