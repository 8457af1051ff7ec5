import { type Clock } from "@waxwingspar/utils";

/** Targets of a data centre that must be lost together before it is given up. */
const minLost = 3;
/** Milliseconds within which they must be lost. */
const window = 3000;
const firstPause = 1000;
const maxPause = 10_000;

interface DataCentreRecord {
    lost: Set<string>;
    windowStart: number;
    avoidedUntil: number;
    pause: number;
}

/**
 * Gives up a whole data centre once several of its targets are lost within seconds and none answers in between, rather
 * than finding out about each target by a failed request.
 *
 * @internal
 */
export class DataCentreWatch {
    private readonly records = new Map<string, DataCentreRecord>();

    constructor(private readonly clock: Clock) {}

    /** A target of the data centre became unreachable. */
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

    /** A target of the data centre answered. */
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
