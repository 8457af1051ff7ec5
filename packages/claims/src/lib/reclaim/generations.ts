/**
 * Generations of one era of the store. They leave room for the number of a segment (12 digits) and for the time of day in milliseconds
 * until the year 2096, and for two thousand eras below the largest safe integer.
 */
const generationsPerEra = 4_000_000_000_000;

/**
 * The lowest generation of a claim that is granted in an era of the store. A claim of an earlier era has a lower one, whatever numbers
 * the store gives out again, so that a runner can tell which claims a reclaim has settled.
 *
 * @internal
 */
export function firstGeneration(era: number): number {
    return era * generationsPerEra;
}
