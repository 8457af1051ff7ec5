import { type Clock } from "@waxwingspar/utils";
import { EventRate } from "./EventRate.js";

/** Options of {@link SlotRates}. */
export interface SlotRatesOptions {
    readonly clock: Clock;
    /** Time constant of the rates, in milliseconds. Default 1,000. */
    readonly rateTimeConstant?: number;
}

/**
 * Milliseconds without a freed slot after which the rate is unknown again: the longest streams take 5 s, so a pool that
 * was idle before a burst frees nothing for that long.
 */
const rateMemory = 5_000;
/**
 * Smallest share of the freed slots that a rank is expected to get. Two estimates are subtracted, so the difference may
 * be negative by chance.
 */
const minRankShare = 0.05;

/**
 * The rates at which slots of a pool become free and are granted, and the waits that follow from them. They tell which
 * requests cannot be served in time when more urgent ones take all slots that become free.
 */
export class SlotRates {
    private freed: EventRate;
    /** Grants to starved requests that went before the order of the queue. */
    private readonly outOfTurn: EventRate;
    /** Other grants, by priority. */
    private readonly granted = new Map<number, EventRate>();
    private lastFreed = -Infinity;

    constructor(private readonly options: SlotRatesOptions) {
        this.freed = this.create();
        this.outOfTurn = this.create();
    }

    /** Slots that become free per millisecond; undefined while unknown. */
    get freedRate(): number | undefined {
        return this.freed.isKnown && !this.isOutdated ? this.freed.value : undefined;
    }

    noteFreed(count: number): void {
        if (count <= 0) {
            return;
        }
        if (this.isOutdated) {
            this.freed = this.create();
        }
        this.lastFreed = this.options.clock.now();
        this.freed.add(count);
    }

    noteGranted(priority: number, isOutOfTurn: boolean): void {
        let rate = isOutOfTurn ? this.outOfTurn : this.granted.get(priority);
        if (rate === undefined) {
            rate = this.create();
            this.granted.set(priority, rate);
        }
        rate.add();
    }

    /**
     * Expected milliseconds until a request at a position of the queue gets a slot; undefined while no rate is known.
     * More urgent requests that arrive later go first, and so do starved ones, so the recent grants of both are
     * subtracted from the freed slots.
     */
    expectedWait(position: number, priority: number): number | undefined {
        const rate = this.freedRate;
        if (rate === undefined) {
            return undefined;
        }
        let others = this.outOfTurn.value;
        for (const [other, grants] of this.granted) {
            others += other > priority ? grants.value : 0;
        }
        return position / Math.max(minRankShare * rate, rate - others);
    }

    private get isOutdated(): boolean {
        return this.options.clock.now() - this.lastFreed >= rateMemory;
    }

    private create(): EventRate {
        const { clock, rateTimeConstant = 1_000 } = this.options;
        return new EventRate({ clock, timeConstant: rateTimeConstant });
    }
}
