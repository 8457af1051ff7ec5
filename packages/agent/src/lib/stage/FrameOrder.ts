/** The part of a frame that its order depends on. */
interface Positions {
    readonly position: number;
    readonly count: number;
}

/** @internal */
export type FrameVerdict = "deliver" | "repeat" | "held" | "broken";

/**
 * Puts frames into the order of their positions: repeats are dropped, and frames behind a gap are held, up to a limit.
 *
 * @internal
 */
export class FrameOrder<Frame extends Positions> {
    private next: number | undefined;
    private readonly held = new Map<number, Frame>();

    /**
     * @param limit - Frames held at most.
     * @param latestStart - The first frame may not start behind this position: what the KV cache already holds.
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
     * Judges a frame.
     *
     * @returns `deliver` for the next in order, after which {@link FrameOrder.takeHeld} may yield more; `broken` for one
     * that overlaps others in part, or that exceeds the limit.
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

    /** Takes the next held frame, if it is in order now. */
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
