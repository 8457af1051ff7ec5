import { type Clock, type Timer } from "@waxwingspar/utils";

/**
 * A timeout that is set and cleared for every token. It keeps one timer and moves only its own deadline, because
 * scheduling a timer for each token would cost more than the rest of the agent's work on it.
 *
 * @internal
 */
export class Watchdog {
    private deadline: number | undefined;
    private timer: Timer | undefined;
    private timerDue = 0;

    constructor(private readonly clock: Clock, private readonly expired: () => void) {}

    /** Starts to wait; replaces an earlier deadline. */
    expect(timeout: number): void {
        this.deadline = this.clock.now() + timeout;
        if (this.timer === undefined || this.timerDue > this.deadline) {
            this.arm(this.deadline);
        }
    }

    /** Ends the wait; nothing expires until the next {@link Watchdog.expect}. */
    clear(): void {
        this.deadline = undefined;
    }

    /** Drops the timer as well. */
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
