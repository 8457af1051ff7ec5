/** @internal */
export interface ReplyCreditOptions {
    /** Bytes that the agent may send before the caller has taken those before. */
    readonly window: number;
    /** Bytes that wait for the caller now. */
    readonly waiting: () => number;
    /** Allows the agent to send the body up to a byte (excluded). */
    readonly grant: (upTo: number) => void;
}

/**
 * What an agent may send of one answer: a window beyond what the caller has taken. A grant goes out when half of the
 * window is free again, so that a fast caller's agent does not have to wait for it.
 *
 * @internal
 */
export class ReplyCredit {
    /** True once the agent has said that it keeps to the credit. */
    active = false;
    private received = 0;
    private upTo: number;

    constructor(private readonly options: ReplyCreditOptions) {
        this.upTo = options.window;
    }

    /** Takes note of bytes that have been passed on to the caller's connection. */
    passedOn(bytes: number): void {
        this.received += bytes;
        this.update();
    }

    /** Grants more if the caller has taken enough. */
    update(): void {
        const { window, waiting, grant } = this.options;
        const taken = Math.max(0, this.received - waiting());
        if (this.active && taken + window - this.upTo >= window / 2) {
            this.upTo = taken + window;
            grant(this.upTo);
        }
    }
}
