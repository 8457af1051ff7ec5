import { findResultCode } from "@waxwingspar/utils";
import { type LoadRecord } from "../run/runLoad.js";
import { Latencies, type LatencySummary } from "./Latencies.js";

export { type LatencySummary } from "./Latencies.js";

/** Bounds on answers of models, in milliseconds. @public */
export interface LoadBounds {
    /** From the planned arrival to the first token. */
    readonly firstToken: number;
    /** Between two tokens of one answer. */
    readonly token: number;
    /** The share of tokens, and of requests, that must keep the bounds, such as 0.95. */
    readonly share: number;
}

/** Points of a distribution: the share in hundredths, and milliseconds. @public */
export type Curve = readonly (readonly [number, number])[];

/** The figures of a run. @public */
export interface LoadSummary {
    readonly calls: number;
    /** Seconds from the first planned arrival to the last end. */
    readonly seconds: number;
    /** Ends by their result code, or by name where the site gave none. */
    readonly outcomes: Readonly<Record<string, number>>;
    readonly firstToken: LatencySummary;
    readonly token: LatencySummary;
    readonly total: LatencySummary;
    readonly service: LatencySummary;
    /** How late the generator itself sent calls. */
    readonly sendDelay: LatencySummary;
    readonly bounds: LoadBounds;
    /** Model requests within the bounds: how many, their share of all that were planned, and how many a second. */
    readonly good: { readonly count: number; readonly share: number; readonly rate: number; };
    /** Tokens of a second in completed answers, as the site counted them. */
    readonly tokenRate: number;
    readonly promptTokens: number;
    readonly curves: { readonly firstToken: Curve; readonly token: Curve; readonly total: Curve; };
}

const millisecondsPerSecond = 1000;
const curvePoints = [0, 1, 2, 5, 10, 20, 30, 40, 50, 60, 70, 80, 90, 95, 97, 98, 99, 99.5, 99.9, 100];

/**
 * Reduces the records of a run to figures. Waiting counts from the planned arrival of a call.
 *
 * @public
 */
export function summarize(records: readonly LoadRecord[], bounds: LoadBounds): LoadSummary {
    const times = gather(records);
    const models = records.filter(({ call }) => call.kind === "model");
    const good = models.filter(record => isGood(record, bounds)).length;
    const seconds = spanOf(records);
    const counted = models.filter(({ end }) => end.promptTokens !== undefined);
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
        tokenRate: ratio(sum(counted.map(({ end }) => end.answerTokens ?? 0)), seconds),
        promptTokens: ratio(sum(counted.map(({ end }) => end.promptTokens ?? 0)), counted.length),
        curves: { firstToken: curve(times.firstToken), token: curve(times.token), total: curve(times.total) },
    };
}

function gather(records: readonly LoadRecord[]) {
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

/** Whether an answer came whole, began in time, and enough of its tokens followed in time. */
function isGood({ end, dueAt }: LoadRecord, { firstToken, token, share }: LoadBounds): boolean {
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

function spanOf(records: readonly LoadRecord[]): number {
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
