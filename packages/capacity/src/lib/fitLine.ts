/**
 * A measured value at one size.
 *
 * @public
 */
export interface Point {
    /** The size that was varied. */
    readonly x: number;
    /** The value measured at this size. */
    readonly y: number;
}

/**
 * A line fitted to measured points.
 *
 * @public
 */
export interface LineFit {
    readonly slope: number;
    readonly intercept: number;
    /** The largest vertical distance of a point from the line, as a fraction of the largest absolute measured value. */
    readonly residual: number;
    /** The value of the line at a size. */
    at(x: number): number;
}

/**
 * Fits a line by least squares.
 *
 * @param points - At least two points with different sizes.
 * @public
 */
export function fitLine(points: readonly Point[]): LineFit {
    const meanX = mean(points.map(point => point.x));
    const meanY = mean(points.map(point => point.y));
    const covariance = mean(points.map(({ x, y }) => (x - meanX) * (y - meanY)));
    const variance = mean(points.map(({ x }) => (x - meanX) ** 2));
    const slope = covariance / variance;
    const intercept = meanY - slope * meanX;
    const at = (x: number): number => intercept + slope * x;
    const maxMagnitude = Math.max(...points.map(({ y }) => Math.abs(y)));
    const residual = Math.max(...points.map(({ x, y }) => Math.abs(y - at(x)))) / maxMagnitude;
    return { slope, intercept, residual, at };
}

function mean(values: readonly number[]): number {
    return values.reduce((sum, value) => sum + value, 0) / values.length;
}
