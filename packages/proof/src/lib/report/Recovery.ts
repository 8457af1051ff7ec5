import { type CallResult } from "../callers/callEntry.js";
import { type RequestResult } from "../callers/Callers.js";

/** The effect of a fault on the streams in flight at its time and on the goodput. Times in milliseconds. @internal */
export interface Recovery {
    /** Streams in flight at the fault that completed, and those that did not. */
    readonly survived: number;
    readonly broken: number;
    /** Median and maximum, over the streams that completed, of the longest time between two pieces after the fault. */
    readonly medianGap: number | undefined;
    readonly longestGap: number | undefined;
    /**
     * Time from the fault until the rate of tokens over 2 s has recovered to 75 % of the rate before the fault; 0 if
     * it never fell below that, undefined if it did not recover.
     */
    readonly goodputRecoveryTime: number | undefined;
    /** The lowest rate of tokens over 2 s after the fault, as a fraction of the rate before it. */
    readonly lowestRate: number | undefined;
}

/** Milliseconds between the starts of consecutive windows. */
const windowStep = 100;
/** Milliseconds over which a rate is measured after the fault. */
const windowLength = 2000;
/** Milliseconds before the fault over which the baseline rate is measured. */
const baselineLength = 3000;
const recoveredShare = 0.75;

/**
 * Measures the recovery from a fault.
 *
 * @param results - Every request of the run.
 * @param fault - The time at which the fault began.
 * @param end - The time at which the callers stopped sending.
 * @internal
 */
export function measureRecovery(results: readonly RequestResult[], fault: number, end: number): Recovery {
    const streams = results.flatMap(({ attempts }) => attempts).filter(({ pieceTimes }) => pieceTimes.length > 0);
    const spanning = streams.filter(({ pieceTimes, endedAt }) => (pieceTimes[0] ?? fault) < fault && endedAt > fault);
    const survivors = spanning.filter(({ outcome }) => outcome === "completed");
    const gaps = survivors.map(stream => longestGapAfter(stream, fault)).sort((a, b) => a - b);
    const times = streams.flatMap(({ pieceTimes }) => pieceTimes).sort((a, b) => a - b);
    const rates = measureRates(times, fault, end);
    return {
        survived: survivors.length,
        broken: spanning.length - survivors.length,
        medianGap: gaps[gaps.length >> 1],
        longestGap: gaps.at(-1),
        goodputRecoveryTime: findRecoveryTime(rates),
        lowestRate: rates.length === 0 ? undefined : Math.min(...rates),
    };
}

function longestGapAfter({ pieceTimes, endedAt }: CallResult, fault: number): number {
    const times = [...pieceTimes, endedAt];
    return times.reduce((longest, time, index) => {
        const before = times[index - 1];
        return before === undefined || time < fault ? longest : Math.max(longest, time - before);
    }, 0);
}

/** Measures the rate of tokens in overlapping windows after the fault, as a fraction of the rate before it. */
function measureRates(times: readonly number[], fault: number, end: number): number[] {
    const before = times.filter(time => time >= fault - baselineLength && time < fault).length / baselineLength;
    const rates: number[] = [];
    for (let from = fault; from + windowLength <= end; from += windowStep) {
        const within = times.filter(time => time >= from && time < from + windowLength).length / windowLength;
        rates.push(within / before);
    }
    return rates;
}

/** Finds the time from the fault to the first window at the recovered rate that follows a window below it. */
function findRecoveryTime(rates: readonly number[]): number | undefined {
    const lost = rates.findIndex(rate => rate < recoveredShare);
    if (lost < 0) {
        return 0;
    }
    const back = rates.findIndex((rate, index) => index > lost && rate >= recoveredShare);
    return back < 0 ? undefined : back * windowStep;
}
