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

interface Tally {
    offered: number;
    good: number;
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
    private readonly bySecond: Tally[] = [];
    private readonly byOrganisation: Tally[] = [];

    constructor(private readonly from: number, private readonly to: number) {}

    interval(milliseconds: number, count: number): void {
        this.intervals.recordValueWithCount(Math.round(milliseconds * scale), count);
    }

    /** A request arrived; one that never ends counts as offered all the same. */
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
