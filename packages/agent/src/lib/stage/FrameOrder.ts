/** The part of a frame that determines its order. */
interface Positions {
    readonly position: number;
    readonly count: number;
}

/** @internal */
export type FrameVerdict = "deliver" | "repeat" | "held" | "broken";

/**
 * Orders frames by position: repeated frames are dropped, and up to a limit of frames after a gap are held back.
 *
 * @internal
 */
export class FrameOrder<Frame extends Positions> {
    private next: number | undefined;
    private readonly held = new Map<number, Frame>();

    /**
     * @param limit - Maximum number of frames held back.
     * @param latestStart - The latest position at which the first frame may start: the length of the cached prefix.
     */
    constructor(private readonly limit: number, private readonly latestStart: number) {}

    /** The position of the next frame in order; undefined before the first. */
    get expected(): number | undefined {
        return this.next;
    }

    get waiting(): boolean {
        return this.held.size > 0;
    }

    /**
     * Classifies a frame.
     *
     * @returns `deliver` for the next frame in order, after which {@link FrameOrder.takeHeld} may return more; `held`
     * for a frame after a gap; `repeat` for a duplicate; `broken` for a frame that partly overlaps others or exceeds
     * the limit.
     */
    accept(frame: Positions & Frame): FrameVerdict {
        if (this.next === undefined && frame.position <= this.latestStart) {
            this.next = frame.position;
        }
        if (this.next === undefined || frame.position > this.next) {
            return this.hold(frame);
        }
        if (frame.position + frame.count <= this.next) {
            return "repeat";
        }
        if (frame.position < this.next) {
            return "broken";
        }
        this.next += frame.count;
        return "deliver";
    }

    /** Removes and returns the next held frame, if it is now in order. */
    takeHeld(): Frame | undefined {
        if (this.next === undefined) {
            return undefined;
        }
        const frame = this.held.get(this.next);
        if (frame === undefined) {
            return undefined;
        }
        this.held.delete(this.next);
        this.next += frame.count;
        return frame;
    }

    private hold(frame: Frame): FrameVerdict {
        if (this.held.has(frame.position)) {
            return "repeat";
        }
        if (this.held.size >= this.limit) {
            return "broken";
        }
        this.held.set(frame.position, frame);
        return "held";
    }
}
