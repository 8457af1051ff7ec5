/** A quantile of numbers; a share of 0 gives the minimum and 1 the maximum. */
export function quantile(numbers: readonly number[], share: number): number {
    const sorted = [...numbers].sort((a, b) => a - b);
    return sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))] ?? Number.NaN;
}

export function mean(numbers: readonly number[]): number {
    return numbers.reduce((sum, number) => sum + number, 0) / numbers.length;
}

/** Fits a line through points by least squares. */
export function fitLine(points: readonly { readonly x: number; readonly y: number; }[]) {
    const meanX = mean(points.map(point => point.x));
    const meanY = mean(points.map(point => point.y));
    const covariance = mean(points.map(({ x, y }) => (x - meanX) * (y - meanY)));
    const variance = mean(points.map(({ x }) => (x - meanX) ** 2));
    const slope = covariance / variance;
    return { slope, intercept: meanY - slope * meanX };
}
