/** Scales the median absolute deviation of a normal distribution to its standard deviation. */
const normalConsistency = 1.4826;

/**
 * Returns the median of the values, or 0 when there are none.
 *
 * @internal
 */
export function median(values: readonly number[]): number {
    if (values.length === 0) {
        return 0;
    }
    const sorted = [...values].sort((a, b) => a - b);
    const middle = sorted.length >> 1;
    return sorted.length % 2 === 1 ? sorted[middle]! : (sorted[middle - 1]! + sorted[middle]!) / 2;
}

/**
 * Returns the median absolute deviation from the centre, scaled to a standard deviation.
 *
 * @internal
 */
export function medianDeviation(values: readonly number[], centre: number): number {
    return normalConsistency * median(values.map(value => Math.abs(value - centre)));
}
