import { type LimitHistory } from "@waxwingspar/gateway/testing";
import { checkAnswered } from "./checkAnswered.js";
import { type GatewayIncarnation, type LinkFaultPeriod, type SoakLog, type SoakRun } from "./SoakLog.js";

/** Milliseconds after a disturbance until a process counts as in touch. */
export const contactTime = 3_000;
/** Milliseconds from a target's leaving until it gets no requests, with what a request needs to arrive. */
const drainTime = 2_000 + 150;
/** Milliseconds that a target works on a request, with what its answer needs on a delayed link. */
const maxRunTime = 2_000;
/** Stall of the driver in milliseconds above which it cannot tell when requests arrived. */
const maxStall = 1_000;
/** Milliseconds after a reply in which what had been sent before it may arrive. */
const onTheWay = 500;
/** Least share of its planned requests that a soak must send: callers wait while gateways are down or out of rotation. */
const minSentShare = 0.2;
/** Requests that may reach a target from one gateway in a rest that it asked for. */
const allowedInRest = 2;
/** Requests with a deadly part that may reach targets later than the contact time after the crash with this index. */
const allowedWithPart = 3;
const lastFreeCrash = 4;
/** Requests that may reach targets more than half a second after their callers have left. */
const allowedAfterLeaving = 3;
const notRunStatuses = new Set([408, 421, 429, 503]);
const success = 200;

/** A check that failed. */
export interface Violation {
    readonly check: string;
    readonly detail: string;
}

/** The limits of a target, and when each gateway passed on its first answer with one. */
export interface LimitedTarget {
    readonly id: string;
    readonly limits: LimitHistory;
    readonly toldAt: ReadonlyMap<GatewayIncarnation, number>;
}

/** Checks what callers and targets saw. */
export function checkSoak(log: SoakLog, limited: readonly LimitedTarget[]): Violation[] {
    return [
        ...checkRuns(log),
        ...checkAnswers(log),
        ...checkDepartures(log),
        ...checkToldLeaving(log),
        ...log.longestStall > maxStall ? [] : checkRests(log),
        ...checkStops(log),
        ...checkAnswered(log),
        ...checkDeadlyPart(log),
        ...log.longestStall > maxStall ? [] : checkLeftCallers(log),
        ...log.longestStall > maxStall ? [] : limited.flatMap(target => checkLimit(log, target)),
        ...log.outdated.map(detail => ({ check: "configuration", detail })),
        ...log.unknownHeaders.map(detail => ({ check: "header", detail })),
        ...log.processFaults.map(detail => ({ check: "end", detail })),
    ];
}

/** Checks that a soak has put its gateways under load at all. */
export function checkLoad(calls: number, planned: number): Violation[] {
    return calls >= planned * minSentShare
        ? []
        : [{ check: "load", detail: `${calls} of ${planned} requests were sent` }];
}

function checkRuns({ calls, runs }: SoakLog): Violation[] {
    const counts = new Map<string, number>();
    for (const { requestId } of runs.filter(({ end }) => end !== "refused")) {
        counts.set(requestId, (counts.get(requestId) ?? 0) + 1);
    }
    return calls.filter(({ kind }) => kind === "once").flatMap(({ requestId, status }) => {
        const count = counts.get(requestId) ?? 0;
        const repeated = count > 1 ? [{ check: "once", detail: `${requestId} ran ${count} times` }] : [];
        const isFalse = count > 0 && notRunStatuses.has(status);
        return [...repeated, ...isFalse ? [{ check: "refusal", detail: `${requestId}: ${status}, but ran` }] : []];
    });
}

function checkAnswers({ calls }: SoakLog): Violation[] {
    return calls
        .filter(({ status, isComplete, body, expectedBody }) =>
            status === success && isComplete && body !== expectedBody
        )
        .map(({ requestId, kind, body }) => ({
            check: "answer",
            detail: `${requestId} (${kind}): ${JSON.stringify(body.slice(0, 120))}`,
        }));
}

function checkDepartures({ departures, runs, storeFaults }: SoakLog): Violation[] {
    return departures.flatMap(({ target, at }) => {
        const isStoreStable = storeFaults.every(({ from, until }) => until + contactTime < at || from > at + drainTime);
        const late = runs.filter(run => run.target === target && run.at > at + drainTime && isInTouch(run, at));
        return isStoreStable && late.length > 0
            ? [{ check: "leaving", detail: `${target} got ${late.length} requests more than 2 s after it left` }]
            : [];
    });
}

/** A target that said so in a reply to a gateway gets nothing new from there, whether the store failed or not. */
function checkToldLeaving({ toldLeaving, runs, linkFaults }: SoakLog): Violation[] {
    return toldLeaving.flatMap(({ target, sender, at }) => {
        const late = runs.filter(run => run.target === target && run.sender === sender && run.at > at + onTheWay)
            .filter(run => wasCalm(run, at) && !wasCut(linkFaults, target, at, run.at));
        return late.length > 0
            ? [{
                check: "leaving",
                detail: `${target} got ${late.length} requests of ${sender.gateway} that it had told`,
            }]
            : [];
    });
}

function checkRests({ rests, runs, linkFaults }: SoakLog): Violation[] {
    return rests.flatMap(({ target, sender, at, until }) => {
        const early = runs.filter(run =>
            run.target === target && run.sender === sender && run.at > at + onTheWay && run.at <= until
            && wasCalm(run, at) && !wasCut(linkFaults, target, at, run.at)
        );
        return early.length > allowedInRest
            ? [{ check: "rest", detail: `${target} got ${early.length} requests of ${sender.gateway} in a rest` }]
            : [];
    });
}

/** Few requests with a deadly part may reach targets once all gateways can know of the fifth crash. */
function checkDeadlyPart({ runs, crashes, storeFaults }: SoakLog): Violation[] {
    const knownAt = (crashes[lastFreeCrash] ?? Infinity) + contactTime;
    const hasStore = ({ at }: SoakRun) => storeFaults.every(({ from, until }) => until + contactTime < at || from > at);
    const late = runs.filter(run => run.isDeadly === true && run.at > knownAt && isInTouch(run) && hasStore(run));
    return late.length > allowedWithPart
        ? [{ check: "part", detail: `${late.length} requests with a deadly part, after ${crashes.length} crashes` }]
        : [];
}

/** Requests whose callers have left reach no target, also after the process stood still, unless they were on their way. */
function checkLeftCallers({ calls, runs, linkFaults }: SoakLog): Violation[] {
    const leftAt = new Map(calls.flatMap(({ requestId, leftAt }) => leftAt === undefined ? [] : [[requestId, leftAt]]));
    const late = runs.filter(({ requestId, target, at }) =>
        at > (leftAt.get(requestId) ?? Infinity) + onTheWay && !wasCut(linkFaults, target, at - maxRunTime, at)
    );
    return late.length > allowedAfterLeaving
        ? [{ check: "left", detail: `${late.length} requests reached targets after their callers had left` }]
        : [];
}

/** A planned stop may not cost an answer that a target has begun, unless something else cut it off. */
function checkStops({ calls, runs, linkFaults }: SoakLog): Violation[] {
    const find = (id: string) => runs.filter(({ requestId }) => requestId === id);
    return calls
        .filter(({ isComplete, leftAt, gateway }) => !isComplete && leftAt === undefined && !gateway.wasCutOff)
        .filter(({ requestId }) => {
            const own = find(requestId);
            return own.length > 0
                && own.every(({ end, target, at, duration = 0 }) =>
                    end !== "brokenOff" && !wasCut(linkFaults, target, at, at + Math.max(maxRunTime, duration))
                );
        })
        .map(({ requestId, gateway, kind, status }) => ({
            check: "stop",
            detail: `${requestId} (${kind}, ${status}) at ${gateway.gateway} got no complete answer`,
        }));
}

function checkLimit({ runs, linkFaults }: SoakLog, { id, limits, toldAt }: LimitedTarget): Violation[] {
    const isJudged = (run: SoakRun) =>
        run.target === id && isInTouch(run) && !wasCut(linkFaults, id, run.at - contactTime, run.at);
    const arrivals = runs.filter(isJudged).map(({ at, sender }) => ({
        at,
        toldAt: sender === undefined ? Infinity : toldAt.get(sender) ?? Infinity,
    }));
    const excess = limits.worstExcess(arrivals);
    return excess > 0 ? [{ check: "limit", detail: `${id} got ${excess} requests too many in 4 s` }] : [];
}

/** Whether the link to a target was cut or silent at any time between two moments. */
function wasCut(faults: readonly LinkFaultPeriod[], target: string, since: number, end: number): boolean {
    return faults.some(fault => fault.target === target && fault.from <= end && fault.until >= since);
}

/** Whether the sender of a run ran without a disturbance from a moment on until the run. */
function wasCalm({ sender, at }: SoakRun, since: number): boolean {
    return sender?.disturbances.every(({ from, until }) => until < since || from > at) === true;
}

/** Whether the sender of a run was in touch all the time since `since`, by default at the moment of the run. */
function isInTouch({ sender, at }: SoakRun, since = at): boolean {
    return sender !== undefined
        && [...sender.disturbances, ...sender.storeCuts]
            .every(({ from, until }) => until + contactTime < since || from > at);
}
