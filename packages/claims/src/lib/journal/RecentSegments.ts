import { type Segment } from "./partitionRows.js";

/** A segment that was read from the store or whose write was acknowledged. @internal */
export interface KnownSegment {
    readonly number: number;
    /** The version of its row. */
    readonly version: number;
    readonly segment: Segment;
}

/**
 * Number of segments kept: what a partition writes in 20 s at its full rate. Copies of the store are only some seconds
 * old.
 */
const maxSegments = 128;

/**
 * The newest segments of a partition as the store had them, kept so that claims which a restored copy lacks can be
 * written again.
 *
 * @internal
 */
export class RecentSegments {
    private known: KnownSegment[] = [];

    /** The segments with at least a given number, in order. */
    from(first: number): readonly KnownSegment[] {
        return this.known.filter(({ number }) => number >= first);
    }

    /** Adds the segment that follows the newest one, or replaces a segment that was written again. */
    put(segment: KnownSegment): void {
        const others = this.known.filter(({ number }) => number !== segment.number);
        this.known = [...others, segment].sort((a, b) => a.number - b.number).slice(-maxSegments);
    }

    clear(): void {
        this.known = [];
    }
}
