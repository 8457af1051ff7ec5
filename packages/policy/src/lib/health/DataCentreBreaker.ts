import { type Clock } from "@waxwingspar/utils";

/** Number of targets of a data centre that must become unreachable before the data centre is avoided. */
const minLost = 3;
/** Milliseconds within which they must become unreachable. */
const window = 3000;
/** Milliseconds for which a data centre is avoided the first time. The time doubles on each repetition. */
const firstPause = 1000;
/** Upper limit of that time, in milliseconds. */
const maxPause = 10_000;

interface DataCentreRecord {
    lost: Set<string>;
    windowStart: number;
    avoidedUntil: number;
    pause: number;
}

/**
 * A circuit breaker for data centres. It opens once several targets of a data centre become unreachable within seconds
 * and none responds in between, so that the remaining targets need not be found unreachable by one failed request each.
 *
 * @internal
 */
export class DataCentreBreaker {
    private readonly records = new Map<string, DataCentreRecord>();

    constructor(private readonly clock: Clock) {}

    /** Records that a target of the data centre became unreachable. */
    lost(dataCentre: string, target: string): void {
        const now = this.clock.now();
        const record = this.records.get(dataCentre)
            ?? { lost: new Set(), windowStart: now, avoidedUntil: 0, pause: firstPause };
        this.records.set(dataCentre, record);
        if (now - record.windowStart > window && now > record.avoidedUntil + window) {
            record.lost.clear();
            record.pause = firstPause;
            record.windowStart = now;
        }
        record.lost.add(target);
        if (record.lost.size < minLost || now < record.avoidedUntil) {
            return;
        }
        record.avoidedUntil = now + record.pause;
        record.pause = Math.min(maxPause, record.pause * 2);
    }

    /** Records a response from a target of the data centre, which closes the breaker. */
    succeeded(dataCentre: string): void {
        if (this.records.size > 0) {
            this.records.delete(dataCentre);
        }
    }

    isAvoided(dataCentre: string): boolean {
        if (this.records.size === 0) {
            return false;
        }
        const record = this.records.get(dataCentre);
        return record !== undefined && this.clock.now() < record.avoidedUntil;
    }
}
