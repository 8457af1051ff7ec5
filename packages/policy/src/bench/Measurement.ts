import { build, type Histogram } from "hdr-histogram-js";

/** Histograms record integers, so times are stored in microseconds. */
const microsecondsPerMillisecond = 1000;
/** Highest recordable time, in microseconds. */
const highestValue = 600_000 * microsecondsPerMillisecond;

/** The result of a request as observed by the caller. */
export interface RequestEnd {
    /** Arrival time in milliseconds of virtual time. */
    readonly arrival: number;
    readonly organisation: number;
    /** Milliseconds from the arrival to the first token; undefined without a first token. */
    readonly firstToken: number | undefined;
    readonly isWithinBounds: boolean;
}

interface Tally {
    offered: number;
    good: number;
}

/**
 * The measurements of a run. Rates, shares and first tokens cover the requests that arrived from second `from` until
 * before second `to`.
 *
 * @internal
 */
export class Measurement {
    readonly firstTokens: Histogram = newHistogram();
    readonly intervals: Histogram = newHistogram();
    attempts = 0;
    retries = 0;
    refusals = 0;
    /** Number of prompt blocks of the attempts that ran. */
    promptBlocks = 0;
    /** Number of these blocks that were cached on every stage. */
    cachedBlocks = 0;
    private readonly bySecond: Tally[] = [];
    private readonly byOrganisation: Tally[] = [];

    constructor(private readonly from: number, private readonly to: number) {}

    interval(milliseconds: number, count: number): void {
        this.intervals.recordValueWithCount(Math.round(milliseconds * microsecondsPerMillisecond), count);
    }

    /** Records an arrival. A request that never ends counts as offered too. */
    arrived(arrival: number, organisation: number): void {
        const second = Math.floor(arrival / 1000);
        rowOf(this.bySecond, second).offered++;
        if (this.isCounted(second)) {
            rowOf(this.byOrganisation, organisation).offered++;
        }
    }

    ended(end: RequestEnd): void {
        const second = Math.floor(end.arrival / 1000);
        const good = end.isWithinBounds ? 1 : 0;
        rowOf(this.bySecond, second).good += good;
        if (!this.isCounted(second)) {
            return;
        }
        rowOf(this.byOrganisation, end.organisation).good += good;
        if (end.firstToken !== undefined) {
            this.firstTokens.recordValue(Math.round(end.firstToken * microsecondsPerMillisecond));
        }
    }

    /** Returns the rate of requests that were offered, or that ended within the bounds, per second. */
    rate(what: "offered" | "good"): number {
        return sum(this.bySecond.slice(this.from, this.to), what) / (this.to - this.from);
    }

    /** Returns the share of requests that ended within the bounds, by organisation. */
    goodShares(): number[] {
        return this.byOrganisation.map(({ offered, good }) => good / offered);
    }

    /** Returns the rate of an organisation's requests that ended within the bounds, per second. */
    organisationGoodput(organisation: number): number {
        return (this.byOrganisation[organisation]?.good ?? 0) / (this.to - this.from);
    }

    p95(histogram: Histogram): number {
        return histogram.getValueAtPercentile(95) / microsecondsPerMillisecond;
    }

    /**
     * Returns the seconds from `moment` until the share of good requests, by arrival time, is at least 95% of its value
     * before second `before` over three consecutive seconds; undefined if it does not recover.
     */
    recovery(moment: number, before: number): number | undefined {
        const usual = share(this.bySecond.slice(this.from, before));
        for (let second = moment; second + 3 <= this.to; second++) {
            if (share(this.bySecond.slice(second, second + 3)) >= 0.95 * usual) {
                return second - moment;
            }
        }
        return undefined;
    }

    private isCounted(second: number): boolean {
        return second >= this.from && second < this.to;
    }
}

function newHistogram(): Histogram {
    return build({ lowestDiscernibleValue: 1, highestTrackableValue: highestValue, numberOfSignificantValueDigits: 3 });
}

function rowOf(rows: Tally[], index: number): Tally {
    while (rows.length <= index) {
        rows.push({ offered: 0, good: 0 });
    }
    return rows[index]!;
}

function sum(rows: readonly Tally[], what: "offered" | "good"): number {
    return rows.reduce((total, row) => total + row[what], 0);
}

function share(rows: readonly Tally[]): number {
    return sum(rows, "good") / Math.max(1, sum(rows, "offered"));
}
