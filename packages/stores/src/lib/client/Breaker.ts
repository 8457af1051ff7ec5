import { type Clock, type Random } from "@waxwingspar/utils";
import { type BackoffBounds, fullJitter } from "./fullJitter.js";

/**
 * Options of a {@link Breaker}.
 *
 * @public
 */
export interface BreakerOptions {
    readonly clock: Clock;
    readonly random: Random;
    /** Consecutive failures that open the breaker. */
    readonly threshold: number;
    /** How long the breaker stays open before the next probe. */
    readonly pause: BackoffBounds;
}

/**
 * Whether calls pass: all (`closed`), none (`open`), or one probe at a time (`probing`).
 *
 * @public
 */
export type BreakerState = "closed" | "open" | "probing";

/**
 * A circuit breaker: stops calls to a store that keeps failing. After a random pause it lets one call through as a
 * probe; the pause grows with each probe that fails.
 *
 * @public
 */
export class Breaker {
    private readonly options: BreakerOptions;
    private failures = 0;
    private consecutiveOpens = 0;
    private probeAt: number | undefined;
    private probing = false;

    constructor(options: BreakerOptions) {
        this.options = options;
    }

    get state(): BreakerState {
        if (this.probeAt === undefined) {
            return "closed";
        }
        return this.probing ? "probing" : "open";
    }

    /** Milliseconds until a call may pass; 0 when one may pass now. */
    wait(): number {
        if (this.probeAt === undefined) {
            return 0;
        }
        const { pause, clock } = this.options;
        return this.probing ? pause.base : Math.max(0, this.probeAt - clock.now());
    }

    /**
     * Requests permission to send a call. If it is granted, the caller must report the result with
     * {@link Breaker.succeed} or {@link Breaker.fail}.
     *
     * @returns False when the call must not be sent.
     */
    tryEnter(): boolean {
        if (this.wait() > 0) {
            return false;
        }
        this.probing = this.probeAt !== undefined;
        return true;
    }

    /**
     * Reports that the store responded.
     *
     * @returns True if this closed the breaker.
     */
    succeed(): boolean {
        const closed = this.probeAt !== undefined;
        this.failures = 0;
        this.consecutiveOpens = 0;
        this.probeAt = undefined;
        this.probing = false;
        return closed;
    }

    /** Reports that the store failed to respond. */
    fail(): void {
        this.failures++;
        if (this.probing || (this.probeAt === undefined && this.failures >= this.options.threshold)) {
            this.open();
        }
    }

    private open(): void {
        const { clock, random, pause } = this.options;
        this.probing = false;
        this.probeAt = clock.now() + fullJitter(random, pause, this.consecutiveOpens);
        this.consecutiveOpens++;
    }
}
