/** Bytes that may always be pending for one caller, regardless of the total for all callers. */
const alwaysAllowedBytes = 65_536;

/**
 * Counts the bytes of answers that are pending for slow callers, across the whole process.
 *
 * @internal
 */
export class ReplyMemory {
    private held = 0;

    /**
     * @param maxPerCaller - Maximum bytes that may be pending for one caller.
     * @param maxTotal - Maximum bytes that may be pending for all callers together.
     */
    constructor(private readonly maxPerCaller: number, private readonly maxTotal: number) {}

    /** Updates the total after the bytes pending for one caller have changed. */
    changed(before: number, after: number): void {
        this.held += after - before;
    }

    /** Whether a caller must be disconnected because of the bytes pending for it. */
    exceeded(waiting: number): boolean {
        return waiting > this.maxPerCaller || (this.held > this.maxTotal && waiting > alwaysAllowedBytes);
    }
}
