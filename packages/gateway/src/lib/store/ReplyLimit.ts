import { type Clock, type Timer } from "@waxwingspar/utils";

/** Options of {@link ReplyLimit}. */
export interface ReplyLimitOptions {
    readonly clock: Clock;
    /** Milliseconds until the body of the reply must have begun. */
    readonly begin: number;
    /** Milliseconds that may pass without progress once it has begun. */
    readonly stall: number;
    /** Called when the reply has made no progress for too long. */
    readonly onExpired: () => void;
    /**
     * Runs a function after pending input has been read. Timers may run first after a stall of this process, and the
     * progress may be waiting in a socket.
     */
    readonly afterInput?: (callback: () => void) => void;
}

/** Bytes that a reply must bring for each stall time on average: about a packet. */
const minProgress = 1_000;
/** Stall times for which a reply may be slower than that. */
const slowPeriods = 10;

/**
 * Ends a call whose reply makes no progress. A reply that does is never ended, however large it is and however narrow
 * the link: a repeated call would have to transfer it from the start.
 *
 * @public
 */
export class ReplyLimit {
    private timer: Timer;
    private dueAt: number;
    private isOver = false;
    /** When the body began, on the clock. */
    private begunAt: number | undefined;
    private bytes = 0;

    constructor(private readonly options: ReplyLimitOptions) {
        this.dueAt = options.clock.now() + options.begin;
        this.timer = options.clock.schedule(() => this.check(), options.begin);
    }

    /** Records that a part of the body has arrived. */
    receive(bytes: number): void {
        const { clock, stall } = this.options;
        const now = clock.now();
        this.begunAt ??= now;
        this.bytes += bytes;
        const latest = this.begunAt + stall * (slowPeriods + this.bytes / minProgress);
        this.dueAt = Math.min(now + stall, latest);
    }

    /** Ends the limit because the call has ended. */
    cancel(): void {
        this.isOver = true;
        this.timer.cancel();
    }

    private check(): void {
        const { clock, afterInput = callback => callback() } = this.options;
        afterInput(() => {
            if (this.isOver) {
                return;
            }
            const left = this.dueAt - clock.now();
            if (left > 0) {
                this.timer = clock.schedule(() => this.check(), left);
                return;
            }
            this.isOver = true;
            this.options.onExpired();
        });
    }
}
