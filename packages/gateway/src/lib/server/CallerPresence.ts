/**
 * Whether the caller of one request is still there. A caller leaves when the end of its connection has been read, whether
 * or not this process has closed its own side, or when the connection is closed.
 */
export class CallerPresence {
    private left = false;
    private listener: (() => void) | undefined;

    get hasLeft(): boolean {
        return this.left;
    }

    /** Sets the handler that is called once when the caller leaves, also after its answer has ended. */
    onLeave(listener: () => void): void {
        this.listener = listener;
    }

    /** Records that the caller has left. */
    leave(): void {
        if (!this.left) {
            this.left = true;
            this.listener?.();
        }
    }
}
