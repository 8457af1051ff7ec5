import { type CallResult } from "../callers/callEntry.js";
import { type RequestResult } from "../callers/Callers.js";

/** How the streams that ran at the time of a fault, and the goodput, came through it. Times in milliseconds. @internal */
export interface Recovery {
    /** Streams in progress at the fault that went on to their end, and those that broke. */
    readonly survived: number;
    readonly broken: number;
    /** The longest time between two pieces after the fault, of each stream that survived. */
    readonly medianGap: number | undefined;
    readonly longestGap: number | undefined;
    /**
     * From the fault until callers get tokens again at 75 % of the rate before it, over 2 s; 0 if the rate never fell
     * below, undefined if that did not come.
     */
    readonly goodputRecoveryTime: number | undefined;
    /** The lowest rate of tokens over 2 s after the fault, as a share of the rate before it. */
    readonly lowestRate: number | undefined;
}

const windowStep = 100;
const windowLength = 2000;
const baselineLength = 3000;
const recoveredShare = 0.75;

/**
 * Measures the recovery from a fault.
 *
 * @param ends - Every request of the run.
 * @param fault - When the fault began.
 * @param end - When the callers stopped sending.
 * @internal
 */
export function measureRecovery(ends: readonly RequestResult[], fault: number, end: number): Recovery {
    const streams = ends.flatMap(({ attempts: tries }) => tries).filter(({ pieceTimes }) => pieceTimes.length > 0);
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

/** The rate of tokens in windows that begin every step after the fault, as a share of the rate before it. */
function measureRates(times: readonly number[], fault: number, end: number): number[] {
    const before = times.filter(time => time >= fault - baselineLength && time < fault).length / baselineLength;
    const rates: number[] = [];
    for (let from = fault; from + windowLength <= end; from += windowStep) {
        const within = times.filter(time => time >= from && time < from + windowLength).length / windowLength;
        rates.push(within / before);
    }
    return rates;
}

/** Finds when the first good window begins after the first bad one. */
function findRecoveryTime(rates: readonly number[]): number | undefined {
    const lost = rates.findIndex(rate => rate < recoveredShare);
    if (lost < 0) {
        return 0;
    }
    const back = rates.findIndex((rate, index) => index > lost && rate >= recoveredShare);
    return back < 0 ? undefined : back * windowStep;
}
