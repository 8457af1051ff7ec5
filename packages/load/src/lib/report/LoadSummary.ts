import { findResultCode } from "@waxwingspar/utils";
import { type LoadRecord } from "../run/runLoad.js";
import { Latencies, type LatencySummary } from "./Latencies.js";

export { type LatencySummary } from "./Latencies.js";

/** Latency bounds on answers of models. @public */
export interface LoadBounds {
    /** Milliseconds from the planned arrival to the first token. */
    readonly firstToken: number;
    /** Milliseconds between two tokens of one answer. */
    readonly token: number;
    /** The fraction of tokens, and of requests, that must keep the bounds, such as 0.95. */
    readonly share: number;
}

/** Points of a distribution: a percentile and its latency in milliseconds. @public */
export type Curve = readonly (readonly [number, number])[];

/** The figures of a run. @public */
export interface LoadSummary {
    readonly calls: number;
    /** Seconds from the first planned arrival to the end of the last call. */
    readonly seconds: number;
    /** Number of calls by result code, or by the name of the outcome if the site sent no code. */
    readonly outcomes: Readonly<Record<string, number>>;
    readonly firstToken: LatencySummary;
    readonly token: LatencySummary;
    readonly total: LatencySummary;
    readonly service: LatencySummary;
    /** How late the generator sent calls, from their planned arrival. */
    readonly sendDelay: LatencySummary;
    readonly bounds: LoadBounds;
    /** Model requests within the bounds: their count, their fraction of the planned ones, and their rate per second. */
    readonly good: { readonly count: number; readonly share: number; readonly rate: number; };
    /** Answer tokens per second, as counted by the site; only answers that report their usage are included. */
    readonly tokenRate: number;
    /** Mean number of tokens in a prompt, as counted by the site. */
    readonly promptTokens: number;
    readonly curves: { readonly firstToken: Curve; readonly token: Curve; readonly total: Curve; };
}

const millisecondsPerSecond = 1000;
const curvePoints = [0, 1, 2, 5, 10, 20, 30, 40, 50, 60, 70, 80, 90, 95, 97, 98, 99, 99.5, 99.9, 100];

/**
 * Summarises the records of a run. Latencies are measured from the planned arrival of a call.
 *
 * @public
 */
export function summarize(records: readonly LoadRecord[], bounds: LoadBounds): LoadSummary {
    const times = collectLatencies(records);
    const models = records.filter(({ call }) => call.kind === "model");
    const good = models.filter(record => isWithinBounds(record, bounds)).length;
    const seconds = secondsOf(records);
    const withUsage = models.filter(({ end }) => end.promptTokens !== undefined);
    return {
        calls: records.length,
        seconds,
        outcomes: countOutcomes(records),
        firstToken: times.firstToken.summary(),
        token: times.token.summary(),
        total: times.total.summary(),
        service: times.service.summary(),
        sendDelay: times.sendDelay.summary(),
        bounds,
        good: { count: good, share: ratio(good, models.length), rate: ratio(good, seconds) },
        tokenRate: ratio(sum(withUsage.map(({ end }) => end.answerTokens ?? 0)), seconds),
        promptTokens: ratio(sum(withUsage.map(({ end }) => end.promptTokens ?? 0)), withUsage.length),
        curves: { firstToken: curve(times.firstToken), token: curve(times.token), total: curve(times.total) },
    };
}

function collectLatencies(records: readonly LoadRecord[]) {
    const times = {
        firstToken: new Latencies(),
        token: new Latencies(),
        total: new Latencies(),
        service: new Latencies(),
        sendDelay: new Latencies(),
    };
    for (const { call, end, dueAt, sentAt, endedAt } of records) {
        times.sendDelay.record(sentAt - dueAt);
        if (call.kind === "service") {
            recordIf(end.outcome === "completed", times.service, endedAt - dueAt);
            continue;
        }
        const first = end.pieceTimes[0];
        recordIf(first !== undefined, times.firstToken, (first ?? 0) - dueAt);
        intervals(end.pieceTimes).forEach(interval => times.token.record(interval));
        recordIf(end.outcome === "completed", times.total, endedAt - dueAt);
    }
    return times;
}

function recordIf(condition: boolean, latencies: Latencies, time: number): void {
    if (condition) {
        latencies.record(time);
    }
}

function intervals(times: readonly number[]): number[] {
    return times.slice(1).map((time, index) => time - (times[index] ?? time));
}

/** Whether an answer completed, its first token came within its bound, and so did enough of the further tokens. */
function isWithinBounds({ end, dueAt }: LoadRecord, { firstToken, token, share }: LoadBounds): boolean {
    const first = end.pieceTimes[0];
    if (end.outcome !== "completed" || first === undefined || first - dueAt > firstToken) {
        return false;
    }
    const all = intervals(end.pieceTimes);
    return all.filter(interval => interval <= token).length >= share * all.length;
}

function countOutcomes(records: readonly LoadRecord[]): Record<string, number> {
    const counts = new Map<string, number>();
    for (const { end: { outcome, code } } of records) {
        const name = code === undefined ? outcome : `${code} ${findResultCode(code)?.name ?? "unknown code"}`;
        counts.set(name, (counts.get(name) ?? 0) + 1);
    }
    return Object.fromEntries([...counts].sort(([, left], [, right]) => right - left));
}

function secondsOf(records: readonly LoadRecord[]): number {
    const first = records.reduce((least, { dueAt }) => Math.min(least, dueAt), Infinity);
    const last = records.reduce((most, { endedAt }) => Math.max(most, endedAt), -Infinity);
    return records.length === 0 ? 0 : (last - first) / millisecondsPerSecond;
}

function curve(latencies: Latencies): Curve {
    return curvePoints.map(point => [point, latencies.percentile(point)] as const);
}

function sum(values: readonly number[]): number {
    return values.reduce((total, value) => total + value, 0);
}

function ratio(part: number, whole: number): number {
    return whole === 0 ? 0 : part / whole;
}
