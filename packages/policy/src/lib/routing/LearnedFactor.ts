/** Learning rate of the first observation; below 1, since another stage may have caused part of the error. */
const firstRate = 0.4;
/** Learning rate after many observations. */
const settledRate = 0.1;
/** Lower limit of the factor. */
const lowestFactor = 0.05;

/**
 * How slow a target is relative to the nominal speed of its accelerator: 1 is nominal, 10 is a tenth of the speed. It
 * decays to the peers' median without observations, so that a target avoided as slow is tried again.
 *
 * @internal
 */
export class LearnedFactor {
    private learned = 1;
    private observedAt = 0;
    private count = 0;

    /** @param halfLife - Half-life of the difference from the peers' median without observations, in milliseconds. */
    constructor(private readonly halfLife: number) {}

    get samples(): number {
        return this.count;
    }

    /** The factor as last learned, without decay. */
    get value(): number {
        return this.learned;
    }

    /** The learning rate for the next observation. */
    get rate(): number {
        return Math.max(settledRate, firstRate / (this.count + 1));
    }

    /** Clock time of the last observation, in milliseconds. */
    get lastObserved(): number {
        return this.observedAt;
    }

    /**
     * Returns the factor after decay.
     *
     * @param usual - The peers' median, to which the factor decays.
     */
    current(now: number, usual: number): number {
        if (this.count === 0) {
            return usual;
        }
        const remaining = 2 ** -((now - this.observedAt) / this.halfLife);
        return usual + (this.learned - usual) * remaining;
    }

    set(value: number, now: number): void {
        this.learned = Math.max(lowestFactor, value);
        this.observedAt = now;
        this.count++;
    }

    /** Discards all observations. */
    reset(): void {
        this.learned = 1;
        this.count = 0;
    }
}
