import { type LogLine, parseLine } from "./explainRequest.js";

/** Requests that were refused, failed or interrupted, by cause and time. */
export interface LossSummary {
    /** Requests that ended or were refused. */
    readonly requests: number;
    /** Causes of losses, the most frequent first. */
    readonly losses: readonly Loss[];
    /** Headers of targets' replies that no gateway reads, each with the processes that saw it. */
    readonly unknownHeaders: ReadonlyMap<string, ReadonlySet<string>>;
    /** The number of lines without a structured log line. */
    readonly unreadable: number;
}

/** The losses with one cause. */
export interface Loss {
    readonly cause: string;
    readonly count: number;
    /** Counts by seconds since the first log line. */
    readonly seconds: ReadonlyMap<number, number>;
}

/** Bounds above which a complete answer counts as a loss, in milliseconds. */
export interface LossLimits {
    /** Longest time without a byte within an answer. */
    readonly pause?: number;
    /** Longest time until the first byte of an answer; undefined if it does not count. */
    readonly firstByte?: number;
}

/** The pause limit where none is given, in milliseconds. */
export const defaultPauseLimit = 200;
const millisecondsPerSecond = 1_000;
const firstFailedStatus = 400;
const endMessages = new Set(["request: request ended", "request: request refused"]);
const failureMessage = "request: attempt failed";
const givenUpMessage = "request: answer given up";
/** End of the message about a header that this program does not know, whichever part logs it. */
const unknownHeaderMessage = "reply has an unknown header";
/** Prefix of the outcome of an answer that was truncated after a head with a success status. */
const brokenOffPrefix = "broken off";

/** Counts the requests that were refused, failed, interrupted or began late, by cause and second. */
export function summarizeLosses(text: readonly string[], limits: LossLimits = {}): LossSummary {
    const parsed = text.filter(line => line.trim() !== "").map(parseLine);
    const lines = parsed.filter(line => line !== undefined).sort((a, b) => a.time - b.time);
    const start = lines[0]?.time ?? 0;
    const failures = new Map<unknown, string>();
    const giveUpCauses = new Map<unknown, string>();
    const losses = new Map<string, Map<number, number>>();
    const unknownHeaders = new Map<string, Set<string>>();
    let requests = 0;
    for (const line of lines) {
        if (line.msg === failureMessage) {
            failures.set(line["request"], maskAddresses(String(line["reason"])));
        }
        if (line.msg === givenUpMessage) {
            giveUpCauses.set(line["request"], String(line["cause"]));
        }
        if (line.msg.endsWith(unknownHeaderMessage)) {
            const header = String(line["header"]);
            unknownHeaders.set(header, (unknownHeaders.get(header) ?? new Set()).add(line.process));
        }
        if (!endMessages.has(line.msg)) {
            continue;
        }
        requests++;
        const request = line["request"];
        const cause = findCause(line, {
            failure: failures.get(request),
            giveUp: giveUpCauses.get(request),
            limits,
        });
        if (cause !== undefined) {
            const second = Math.floor((line.time - start) / millisecondsPerSecond);
            const seconds = losses.get(cause) ?? new Map<number, number>();
            losses.set(cause, seconds.set(second, (seconds.get(second) ?? 0) + 1));
        }
    }
    return { requests, losses: sortLosses(losses), unknownHeaders, unreadable: parsed.length - lines.length };
}

/** Formats a summary as text. */
export function formatLosses({ requests, losses, unknownHeaders, unreadable }: LossSummary): string {
    const rows = losses.map(({ cause, count, seconds }) => {
        const times = [...seconds].map(([second, number]) => `${second} s: ${number}`).join(", ");
        return `${String(count).padStart(6)}  ${cause} (${times})`;
    });
    const headers = [...unknownHeaders].map(([header, processes]) =>
        `targets send the header "${header}", which nothing reads (seen by ${processes.size} processes)`
    );
    return [`${requests} requests`, ...rows, ...headers, `${unreadable} lines could not be read`, ""].join("\n");
}

interface LossContext {
    /** Why the last attempt failed, if one did. */
    readonly failure: string | undefined;
    /** Why the gateway ended the answer, if it did. */
    readonly giveUp: string | undefined;
    readonly limits: LossLimits;
}

function findCause(line: LogLine, { failure, giveUp, limits }: LossContext): string | undefined {
    const { pause: pauseLimit = defaultPauseLimit, firstByte = Infinity } = limits;
    const failureSuffix = failure === undefined ? "" : ` after "${failure}"`;
    const status = Number(line["status"]);
    const outcome = maskAddresses(String(line["outcome"]));
    if (status >= firstFailedStatus || status === 0 || outcome.startsWith(brokenOffPrefix)) {
        return `${outcome}${failureSuffix}${giveUp === undefined ? "" : `, given up: ${giveUp}`}`;
    }
    if (Number(line["firstByte"] ?? 0) > firstByte) {
        return `began after over ${firstByte} ms in ${String(line["dataCentre"])}${failureSuffix}`;
    }
    if (Number(line["longestPause"] ?? 0) > pauseLimit) {
        return `interrupted for over ${pauseLimit} ms${failureSuffix}`;
    }
    return Number(line["deliveredPause"] ?? 0) > pauseLimit
        ? `held up for over ${pauseLimit} ms on the way to the caller`
        : undefined;
}

/** Replaces addresses of targets, so that losses are grouped by cause and not by target. */
function maskAddresses(reason: string): string {
    return reason.replaceAll(/\d+\.\d+\.\d+\.\d+:\d+/g, "a target");
}

function sortLosses(losses: ReadonlyMap<string, ReadonlyMap<number, number>>): Loss[] {
    return [...losses]
        .map(([cause, seconds]) => ({ cause, seconds, count: [...seconds.values()].reduce((a, b) => a + b, 0) }))
        .sort((a, b) => b.count - a.count);
}
