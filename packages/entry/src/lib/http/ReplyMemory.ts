/** Bytes for one caller that never count as too many, however much waits for the others. */
const alwaysAllowed = 65_536;

/**
 * Counts the bytes of answers that wait for slow callers, over the whole process.
 *
 * @internal
 */
export class ReplyMemory {
    private held = 0;

    /**
     * @param maxEach - Bytes that may wait for one caller.
     * @param maxAll - Bytes that may wait for all callers together.
     */
    constructor(private readonly maxEach: number, private readonly maxAll: number) {}

    /** Takes note that what waits for one caller has changed. */
    changed(before: number, after: number): void {
        this.held += after - before;
    }

    /** Whether a caller must be cut off for what waits for it. */
    exceeded(waiting: number): boolean {
        return waiting > this.maxEach || (this.held > this.maxAll && waiting > alwaysAllowed);
    }
}
