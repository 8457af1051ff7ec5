import { type Clock } from "@waxwingspar/utils";

/**
 * Wakes callers that wait for a change.
 *
 * @internal
 */
export class Signal {
    private readonly waiting = new Set<() => void>();

    constructor(private readonly clock: Clock) {}

    /** Resolves at the next notification, or after `timeout` milliseconds. */
    wait(timeout: number): Promise<void> {
        return new Promise(resolve => {
            const finish = () => {
                this.waiting.delete(finish);
                timer.cancel();
                resolve();
            };
            const timer = this.clock.schedule(finish, timeout);
            this.waiting.add(finish);
        });
    }

    /** Wakes all waiting callers. */
    notify(): void {
        [...this.waiting].forEach(finish => finish());
    }
}
