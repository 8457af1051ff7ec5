/**
 * A case of the benchmark. Times are in seconds of virtual time from the start.
 *
 * @internal
 */
export interface BenchCase {
    readonly name: string;
    /** Offered load as a share of the fleet's capacity. */
    readonly load: number;
    /** A period in which all organisations send a multiple of the base load. */
    readonly burst?: { readonly factor: number; readonly from: number; readonly to: number; };
    /** The load of the first organisation, as a multiple of its share. */
    readonly greedy?: number;
    /** True when prompts share long prefixes, a few of which are very common. */
    readonly skewedPrefixes?: boolean;
    /** A fault of some targets during a period. */
    readonly fault?: {
        readonly kind: "slow" | "dead" | "link";
        /** The share of the pipelines that is affected; 0 for a single target. */
        readonly share: number;
        readonly from: number;
        readonly to: number;
    };
    /** Delay of load reports, in milliseconds. */
    readonly reportLag?: number;
}

/** Seconds at the start of every run that are not counted. @internal */
export const warmUp = 15;
/** Seconds of arrivals in every run, including the warm-up. @internal */
export const runTime = 75;

const disturbance = { from: 30, to: 50 };

/** @internal */
export const benchCases: readonly BenchCase[] = [
    { name: "steady", load: 0.8 },
    { name: "burst 3x", load: 0.6, burst: { factor: 3, from: 30, to: 40 } },
    { name: "organisation 20x", load: 0.6, greedy: 20 },
    { name: "skewed prefixes", load: 0.8, skewedPrefixes: true },
    { name: "slow replica", load: 0.8, fault: { kind: "slow", share: 0, from: 20, to: runTime } },
    { name: "third lost", load: 0.6, fault: { kind: "dead", share: 1 / 3, ...disturbance } },
    { name: "slow link", load: 0.8, fault: { kind: "link", share: 0, from: 20, to: runTime } },
    { name: "late reports", load: 0.8, reportLag: 5000 },
];
