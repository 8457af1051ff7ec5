import { build, type Histogram } from "hdr-histogram-js";

/** Microseconds in a millisecond; the histograms count whole numbers. */
const scale = 1000;
const highestValue = 600_000 * scale;

/** A request's end, as the caller saw it. */
export interface RequestEnd {
    /** Arrival in milliseconds of virtual time. */
    readonly arrival: number;
    readonly organisation: number;
    /** Milliseconds to the first token, counted from the arrival; undefined if there was none. */
    readonly firstToken: number | undefined;
    readonly isWithinBounds: boolean;
}

/**
 * What a run measured.
 *
 * @internal
 */
export class Measurement {
    readonly firstTokens: Histogram = newHistogram();
    readonly intervals: Histogram = newHistogram();
    attempts = 0;
    retries = 0;
    refusals = 0;
    /** Prompt blocks of the attempts that ran, and those of them that were cached on every stage. */
    promptBlocks = 0;
    cachedBlocks = 0;
    private readonly bySecond: { offered: number; good: number; }[] = [];
    private readonly byOrganisation: { offered: number; good: number; }[] = [];

    constructor(private readonly from: number, private readonly to: number) {}

    interval(milliseconds: number, count: number): void {
        this.intervals.recordValueWithCount(Math.round(milliseconds * scale), count);
    }

    ended(end: RequestEnd): void {
        const second = Math.floor(end.arrival / 1000);
        count(this.bySecond, second, end.isWithinBounds);
        if (second < this.from || second >= this.to) {
            return;
        }
        count(this.byOrganisation, end.organisation, end.isWithinBounds);
        if (end.firstToken !== undefined) {
            this.firstTokens.recordValue(Math.round(end.firstToken * scale));
        }
    }

    /** Requests per second that were offered, or that ended within the bounds. */
    rate(what: "offered" | "good"): number {
        return sum(this.bySecond.slice(this.from, this.to), what) / (this.to - this.from);
    }

    /** The share of requests that ended within the bounds, by organisation. */
    goodShares(): number[] {
        return this.byOrganisation.map(({ offered, good }) => good / offered);
    }

    /** Requests of an organisation that ended within the bounds, per second. */
    organisationGoodput(organisation: number): number {
        return (this.byOrganisation[organisation]?.good ?? 0) / (this.to - this.from);
    }

    p95(histogram: Histogram): number {
        return histogram.getValueAtPercentile(95) / scale;
    }

    /**
     * Seconds from a moment until the share of good requests is back at 95% of what it was before, counted by seconds
     * of arrival, for three seconds together; undefined if it never is.
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
}

function newHistogram(): Histogram {
    return build({ lowestDiscernibleValue: 1, highestTrackableValue: highestValue, numberOfSignificantValueDigits: 3 });
}

function count(rows: { offered: number; good: number; }[], index: number, isGood: boolean): void {
    while (rows.length <= index) {
        rows.push({ offered: 0, good: 0 });
    }
    const row = rows[index]!;
    row.offered++;
    row.good += isGood ? 1 : 0;
}

function sum(rows: readonly { offered: number; good: number; }[], what: "offered" | "good"): number {
    return rows.reduce((total, row) => total + row[what], 0);
}

function share(rows: readonly { offered: number; good: number; }[]): number {
    return sum(rows, "good") / Math.max(1, sum(rows, "offered"));
}
