/**
 * A timer that has been scheduled and can still be cancelled.
 *
 * @public
 */
export interface Timer {
    /** Cancels the timer. Cancelling one that has fired or been cancelled does nothing. */
    cancel(): void;
}

/**
 * The source of time. Code receives one instead of reading the system's clock, so that tests can control the time.
 *
 * @public
 */
export interface Clock {
    /**
     * Monotonic time in milliseconds from an arbitrary origin. Lease ages, timeouts and latencies are measured
     * with it alone, since it never jumps.
     */
    now(): number;
    /** The wall clock. It may jump; use it for logs and timestamps that people read, never for ordering. */
    date(): Date;
    /**
     * Runs a function once after a delay.
     *
     * @param callback - The function to run.
     * @param delay - The delay in milliseconds.
     */
    schedule(callback: () => void, delay: number): Timer;
}

/**
 * Resolves after a delay on the given clock.
 *
 * @param clock - The clock that measures the delay.
 * @param delay - The delay in milliseconds.
 * @public
 */
export function sleep(clock: Clock, delay: number): Promise<void> {
    return new Promise(resolve => {
        clock.schedule(resolve, delay);
    });
}
