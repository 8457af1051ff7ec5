import { type Violation } from "./checkSoak.js";
import { type SoakCall, type SoakLog } from "./SoakLog.js";

/** Milliseconds after the last byte of a request in which its connection may end unanswered: they cross each other. */
const crossingTime = 200;

/**
 * Every whole request gets an answer, a planned stop or not, unless it crosses the end of its connection. An answer of the
 * gateway's own that has begun is complete; answers of targets are covered by the check of stops.
 */
export function checkAnswered(log: SoakLog): Violation[] {
    const arrived = new Set(log.runs.map(({ requestId }) => requestId));
    return log.calls
        .filter(({ isComplete, leftAt, gateway }) => !isComplete && leftAt === undefined && !gateway.wasCutOff)
        .filter(({ isBehindBroken }) => isBehindBroken !== true)
        .filter(({ requestId, status }) => status === 0 || !arrived.has(requestId))
        .flatMap(call => {
            const { requestId, kind, status, gateway, writtenAt, closedAt = Infinity } = call;
            if (writtenAt === undefined || closedAt - writtenAt <= allowedTime(call, log)) {
                return [];
            }
            const age = Math.round(closedAt - writtenAt);
            const end = status === 0 ? "no answer" : `a part of an answer (${status})`;
            const seconds = ((writtenAt - log.startedAt) / 1_000).toFixed(2);
            const detail =
                `${requestId} (${kind}) at ${gateway.gateway}, sent whole at ${seconds} s, got ${end} in ${age} ms`;
            return [{ check: "answered", detail }];
        });
}

/** A shortage of processor time stretches what a process or the driver needs, and excuses nothing else. */
function allowedTime({ writtenAt = 0, closedAt = Infinity, gateway }: SoakCall, { stalls }: SoakLog): number {
    const overlaps = ({ from, until }: { readonly from: number; readonly until: number; }) =>
        from <= closedAt && until >= writtenAt;
    const slowness = gateway.starvations.filter(overlaps).map(starvation => starvation.slowness);
    const stalled = stalls.filter(overlaps).reduce((sum, { from, until }) => sum + until - from, 0);
    return crossingTime * Math.max(1, ...slowness) + stalled;
}
