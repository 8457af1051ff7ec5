/** @internal */
export interface ReplyCreditOptions {
    /** Window in bytes: how far the agent may send ahead of what the caller has read. */
    readonly window: number;
    /** Returns the bytes that are pending for the caller. */
    readonly waiting: () => number;
    /** Allows the agent to send the body up to a byte offset (exclusive). */
    readonly grant: (upTo: number) => void;
}

/**
 * Flow control for one answer: an agent may send up to a window ahead of what the caller has read. More credit is
 * granted once half of the window is free, so that the agent of a fast caller does not have to wait for it.
 *
 * @internal
 */
export class ReplyCredit {
    /** True once the agent has confirmed that it observes the credit. */
    active = false;
    private received = 0;
    private upTo: number;

    constructor(private readonly options: ReplyCreditOptions) {
        this.upTo = options.window;
    }

    /** Records bytes that have been written to the caller's connection. */
    addForwarded(bytes: number): void {
        this.received += bytes;
        this.update();
    }

    /** Grants more credit if the caller has read enough. */
    update(): void {
        const { window, waiting, grant } = this.options;
        const taken = Math.max(0, this.received - waiting());
        if (this.active && taken + window - this.upTo >= window / 2) {
            this.upTo = taken + window;
            grant(this.upTo);
        }
    }
}
