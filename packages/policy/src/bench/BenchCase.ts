/**
 * One case of the benchmark. Times are in seconds of virtual time from the start.
 *
 * @internal
 */
export interface BenchCase {
    readonly name: string;
    /** Offered load as a share of what the slots of the fleet can serve. */
    readonly load: number;
    /** How many times the usual load all organisations send between two moments. */
    readonly burst?: { readonly factor: number; readonly from: number; readonly to: number; };
    /** How many times its share the first organisation sends, from the start. */
    readonly greedy?: number;
    /** Prompts share long prefixes, a few of which are very common. */
    readonly skewedPrefixes?: boolean;
    /** A disturbance of some targets between two moments. */
    readonly fault?: {
        readonly kind: "slow" | "dead" | "link";
        /** The share of all targets; the smallest is one. */
        readonly share: number;
        readonly from: number;
        readonly to: number;
    };
    /** How late load reports are, in milliseconds. */
    readonly reportLag?: number;
}

/** Seconds of every run before anything is counted, and in all. @internal */
export const warmUp = 15;
/** @internal */
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
