/**
 * One measured pair.
 *
 * @public
 */
export interface Point {
    /** The size that was varied. */
    readonly x: number;
    readonly y: number;
}

/**
 * A line through measured points.
 *
 * @public
 */
export interface Slope {
    readonly slope: number;
    readonly intercept: number;
    /** The greatest distance of a point from the line, as a share of the greatest measured value. */
    readonly residual: number;
    /** The value that the line gives at a size. */
    at(x: number): number;
}

/**
 * Fits the line with the least squared error.
 *
 * @param points - At least two points of different size.
 * @public
 */
export function fitSlope(points: readonly Point[]): Slope {
    const meanX = mean(points.map(point => point.x));
    const meanY = mean(points.map(point => point.y));
    const covariance = mean(points.map(({ x, y }) => (x - meanX) * (y - meanY)));
    const variance = mean(points.map(({ x }) => (x - meanX) ** 2));
    const slope = covariance / variance;
    const intercept = meanY - slope * meanX;
    const at = (x: number): number => intercept + slope * x;
    const greatest = Math.max(...points.map(({ y }) => Math.abs(y)));
    const residual = Math.max(...points.map(({ x, y }) => Math.abs(y - at(x)))) / greatest;
    return { slope, intercept, residual, at };
}

function mean(values: readonly number[]): number {
    return values.reduce((sum, value) => sum + value, 0) / values.length;
}
