import { performance } from "node:perf_hooks";
import { type Clock, type Timer } from "./Clock.js";

/**
 * The clock of the running system.
 *
 * @public
 */
export class SystemClock implements Clock {
    now(): number {
        return performance.now();
    }

    date(): Date {
        return new Date();
    }

    schedule(callback: () => void, delay: number): Timer {
        const handle = setTimeout(callback, delay);
        return {
            cancel(): void {
                clearTimeout(handle);
            },
        };
    }
}
