/**
 * Generations available in one era of the store. The range holds a segment number (12 digits) or a wall-clock time in
 * milliseconds until the year 2096, and two thousand eras fit below the largest safe integer.
 */
const generationsPerEra = 4_000_000_000_000;

/**
 * The lowest generation of a claim granted in an era of the store. Claims of earlier eras have lower generations, even
 * if the restored store assigns the same segment numbers again, so a runner can recognise claims from before a
 * recovery.
 *
 * @internal
 */
export function firstGeneration(era: number): number {
    return era * generationsPerEra;
}
