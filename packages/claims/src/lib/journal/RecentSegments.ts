import { type Segment } from "./partitionRows.js";

/** A segment that the store has acknowledged or shown. @internal */
export interface KnownSegment {
    readonly number: number;
    /** The version of its row. */
    readonly version: number;
    readonly segment: Segment;
}

/** Segments that are remembered: what a partition writes in 20 s at its full rate, and a copy of the store is some seconds old. */
const maxSegments = 128;

/**
 * The newest segments of a partition as the store had them, so that those which a copy of the store lacks can be written again.
 *
 * @internal
 */
export class RecentSegments {
    private known: KnownSegment[] = [];

    /** Those from a number on, in order. */
    from(first: number): readonly KnownSegment[] {
        return this.known.filter(({ number }) => number >= first);
    }

    /** Adds the segment that follows the newest one, or replaces one that was written again. */
    put(segment: KnownSegment): void {
        const others = this.known.filter(({ number }) => number !== segment.number);
        this.known = [...others, segment].sort((a, b) => a.number - b.number).slice(-maxSegments);
    }

    clear(): void {
        this.known = [];
    }
}
