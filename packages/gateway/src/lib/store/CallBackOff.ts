import { type Random } from "@waxwingspar/utils";

/** Options of {@link CallBackOff}. */
export interface CallBackOffOptions {
    /** Milliseconds from sending the first failed call to sending the next one. */
    readonly retryDelay: number;
    /** Upper bound of that time, in milliseconds. */
    readonly maxRetryDelay: number;
    /** Spreads the retries of processes that lost the store at the same moment; without it they are not spread. */
    readonly random?: Random;
}

/** Least share of a retry delay, from 0 to 1, that a process waits. */
const minJitter = 0.5;

/**
 * Determines how long a process waits before it repeats a call that the store refused. The time doubles with each
 * further refusal: refused calls are billed too, and during an outage all processes make them.
 */
export class CallBackOff {
    private failures = 0;

    constructor(private readonly options: CallBackOffOptions) {}

    /** Returns the milliseconds to wait beyond the retry delay after one more failure. */
    next(): number {
        const { retryDelay, maxRetryDelay, random } = this.options;
        const delay = Math.min(maxRetryDelay, retryDelay * 2 ** this.failures++);
        const jitter = random === undefined ? 1 : minJitter + (1 - minJitter) * random.next();
        return Math.max(0, delay * jitter - retryDelay);
    }

    /** Starts again with the shortest time, after a call that succeeded. */
    reset(): void {
        this.failures = 0;
    }
}
