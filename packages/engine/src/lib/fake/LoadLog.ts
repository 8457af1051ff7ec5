import { type Clock } from "@waxwingspar/utils";
import { type EngineLoad } from "../Engine.js";

type Figures = Omit<EngineLoad, "age">;

/** How many figures are kept over the time of the lag. */
const resolution = 10;

/**
 * Load figures that are reported with a lag.
 *
 * @internal
 */
export class LoadLog {
    private entries: { readonly time: number; readonly figures: Figures; }[] = [];

    /** @param lag - How old the reported figures are, in milliseconds. */
    constructor(private readonly clock: Clock, private readonly lag: number) {}

    /** Takes the present figures, unless the last ones are recent enough. */
    record(measure: () => Figures): void {
        const time = this.clock.now();
        const last = this.entries.at(-1);
        if (last !== undefined && time - last.time < this.lag / resolution) {
            return;
        }
        this.entries.push({ time, figures: measure() });
        this.dropOld(time);
    }

    report(measure: () => Figures): EngineLoad {
        const now = this.clock.now();
        if (this.lag === 0) {
            return { ...measure(), age: 0 };
        }
        this.record(measure);
        this.dropOld(now);
        const oldest = this.entries[0];
        if (oldest === undefined || now - oldest.time < this.lag) {
            return { running: 0, waiting: 0, cacheUse: 0, age: this.lag };
        }
        return { ...oldest.figures, age: now - oldest.time };
    }

    /** Keeps the newest entry that is as old as the lag, and all behind it. */
    private dropOld(now: number): void {
        while (this.entries[1] !== undefined && now - this.entries[1].time >= this.lag) {
            this.entries.shift();
        }
    }
}
