/** A request that reached a limited target. */
export interface LimitedArrival {
    readonly at: number;
    /** When the sender passed on the first answer with a limit; Infinity before. */
    readonly toldAt: number;
}

/** Milliseconds of the window in which requests are counted. */
const window = 4_000;
/** Milliseconds from a target's first limit until it must be respected. */
const contactTime = 3_000;
/** Milliseconds from an answer with a limit until its gateway counts as told. */
const tellTime = 500;
/** Factor and number of requests by which a limit may be exceeded in a window. */
const tolerance = { factor: 1.5, extra: 5 };
const millisecondsPerSecond = 1_000;

/** The limits that a target named one after the other, and the check that its requests respected them. */
export class LimitHistory {
    private readonly limits: { readonly at: number; readonly rate: number; }[] = [];

    /** Records a limit in requests per second; undefined lifts it. */
    set(at: number, rate: number | undefined): void {
        this.limits.push({ at, rate: rate ?? Infinity });
    }

    /** Requests in the worst window beyond what the limits and the tolerance allow; 0 or less if they were respected. */
    worstExcess(arrivals: readonly LimitedArrival[]): number {
        const begin = (this.limits.find(({ rate }) => rate < Infinity)?.at ?? Infinity) + contactTime;
        const counted = arrivals.filter(({ at, toldAt }) => at >= toldAt + tellTime);
        const excesses = counted.map(({ at: end }) => {
            const count = counted.filter(({ at }) => at > end - window && at <= end).length;
            return end < begin ? -Infinity : count - Math.ceil(this.allowed(end - window, end));
        });
        return Math.max(-Infinity, ...excesses);
    }

    /** The number of requests that the limits allow from the first one to `end`. */
    allowedUntil(end: number): number {
        return this.integrate(this.limits[0]?.at ?? end, end);
    }

    /** When the first limit was named; Infinity before. */
    get startedAt(): number {
        return this.limits[0]?.at ?? Infinity;
    }

    private allowed(start: number, end: number): number {
        return tolerance.factor * this.integrate(start, end) + tolerance.extra;
    }

    /** Integrates the limit over a period; each counts until gateways that were told of the next one must respect it. */
    private integrate(start: number, end: number): number {
        return this.limits.reduce((sum, { at, rate }, index) => {
            const until = (this.limits[index + 1]?.at ?? Infinity) + tellTime;
            const overlap = Math.min(end, until) - Math.max(start, at);
            return overlap <= 0 ? sum : sum + overlap / millisecondsPerSecond * rate;
        }, start < this.startedAt ? Infinity : 0);
    }
}
