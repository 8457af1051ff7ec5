/** Makes the median absolute deviation of a normal distribution equal to its standard deviation. */
const normalConsistency = 1.4826;

/**
 * The median of some numbers; 0 when there are none.
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
 * The spread of some numbers about their median, on the scale of a standard deviation.
 *
 * @internal
 */
export function medianDeviation(values: readonly number[], centre: number): number {
    return normalConsistency * median(values.map(value => Math.abs(value - centre)));
}
