import { type Clock } from "@waxwingspar/utils";
import { type EngineLoad } from "../Engine.js";

type Figures = Omit<EngineLoad, "age">;

/** The number of samples recorded within one lag. */
const samplesPerLag = 10;

/**
 * Records load samples and reports them with a lag.
 *
 * @internal
 */
export class LoadLog {
    private entries: { readonly time: number; readonly figures: Figures; }[] = [];

    /** @param lag - Age of the reported sample in milliseconds. */
    constructor(private readonly clock: Clock, private readonly lag: number) {}

    /** Records the current load, unless the last sample is recent enough. */
    record(measure: () => Figures): void {
        const time = this.clock.now();
        const last = this.entries.at(-1);
        if (last !== undefined && time - last.time < this.lag / samplesPerLag) {
            return;
        }
        this.entries.push({ time, figures: measure() });
        this.dropOutdated(time);
    }

    report(measure: () => Figures): EngineLoad {
        const now = this.clock.now();
        if (this.lag === 0) {
            return { ...measure(), age: 0 };
        }
        this.record(measure);
        this.dropOutdated(now);
        const oldest = this.entries[0];
        if (oldest === undefined || now - oldest.time < this.lag) {
            return { running: 0, waiting: 0, cacheUse: 0, age: this.lag };
        }
        return { ...oldest.figures, age: now - oldest.time };
    }

    /** Drops the entries older than the newest one that has reached the age of the lag. */
    private dropOutdated(now: number): void {
        while (this.entries[1] !== undefined && now - this.entries[1].time >= this.lag) {
            this.entries.shift();
        }
    }
}
