/** The weights of the first observation, of which part may be another stage's fault, and of one after many. */
const firstRate = 0.4;
const settledRate = 0.1;
const lowestFactor = 0.05;

/**
 * How slow a target is against what its accelerator promises: 1 means as promised, 10 a tenth of the speed. It returns
 * to the usual figure while nothing is observed, so that a target left alone for being slow is tried again.
 *
 * @internal
 */
export class LearnedFactor {
    private learned = 1;
    private observedAt = 0;
    private count = 0;

    /** @param halfLife - Milliseconds without observations in which half the difference from the usual is forgotten. */
    constructor(private readonly halfLife: number) {}

    get samples(): number {
        return this.count;
    }

    /** The factor as last learned, without forgetting. */
    get value(): number {
        return this.learned;
    }

    /** The rate at which the next observation should be taken in. */
    get rate(): number {
        return Math.max(settledRate, firstRate / (this.count + 1));
    }

    /** When the last observation was made, on the clock. */
    get lastObserved(): number {
        return this.observedAt;
    }

    /** The factor to reckon with now. */
    current(now: number, usual: number): number {
        if (this.count === 0) {
            return usual;
        }
        const kept = 2 ** -((now - this.observedAt) / this.halfLife);
        return usual + (this.learned - usual) * kept;
    }

    set(value: number, now: number): void {
        this.learned = Math.max(lowestFactor, value);
        this.observedAt = now;
        this.count++;
    }

    /** Forgets everything. */
    reset(): void {
        this.learned = 1;
        this.count = 0;
    }
}
