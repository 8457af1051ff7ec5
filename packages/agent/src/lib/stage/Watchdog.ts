import { type Clock, type Timer } from "@waxwingspar/utils";

/**
 * A timeout that is set and cleared for every token. It reuses one timer and only moves its deadline, since scheduling
 * a timer for each token would cost more than the rest of the agent's work on the token.
 *
 * @internal
 */
export class Watchdog {
    private deadline: number | undefined;
    private timer: Timer | undefined;
    private timerDue = 0;

    constructor(private readonly clock: Clock, private readonly expired: () => void) {}

    /** Starts or restarts the timeout, in milliseconds. */
    expect(timeout: number): void {
        this.deadline = this.clock.now() + timeout;
        if (this.timer === undefined || this.timerDue > this.deadline) {
            this.arm(this.deadline);
        }
    }

    /** Clears the timeout; nothing expires until the next {@link Watchdog.expect}. */
    clear(): void {
        this.deadline = undefined;
    }

    /** Clears the timeout and cancels the timer. */
    stop(): void {
        this.deadline = undefined;
        this.timer?.cancel();
        this.timer = undefined;
    }

    private arm(due: number): void {
        this.timer?.cancel();
        this.timerDue = due;
        this.timer = this.clock.schedule(() => this.check(), due - this.clock.now());
    }

    private check(): void {
        this.timer = undefined;
        if (this.deadline === undefined) {
            return;
        }
        // A system timer may fire a fraction of a millisecond early.
        if (this.deadline - this.clock.now() >= 1) {
            this.arm(this.deadline);
            return;
        }
        this.deadline = undefined;
        this.expired();
    }
}
