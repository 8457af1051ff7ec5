import { isPart } from "./crashCauses.js";

/**
 * Milliseconds after the preceding one for each run that a request gets after the crashes that made it suspect. One run
 * may be interrupted by a crash that another request caused; two in a row are unlikely to. The guaranteed limit is three.
 */
const requestDelays = [0, 0];
/**
 * The same for a part of prompts. Crashes of the same cause may interrupt several runs in a row, and many requests share
 * a part, so its later runs wait until such a series is over.
 */
const partDelays = [0, 3_000, 5_000];
/** The same for a part without a known run that went well, which is almost certainly to blame after two more crashes. */
const newPartDelays = [0, 3_000, 300_000];

/** The delays for a cause; their number is that of the runs that it gets. */
export function retrialDelays(cause: string, hasRun: boolean): readonly number[] {
    if (!isPart(cause)) {
        return requestDelays;
    }
    return hasRun ? partDelays : newPartDelays;
}
