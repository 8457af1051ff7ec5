import { requestCodes } from "@waxwingspar/utils";
import { type CallerOutcome, type CrashingSite, deadlyIn } from "./CrashingSite.js";

/** A period without contact to the store, on the site's clock; the limit on sends does not apply during it. */
export interface Outage {
    readonly start: number;
    readonly end: number;
}

/** No outage at all. */
export const noOutage: Outage = { start: Infinity, end: -Infinity };

/** Milliseconds after which all gateways must know of the last crash that counts. */
const contactTime = 3_000;
/** Index of that crash. */
const lastFreeCrash = 4;
/** Maximum number of times that requests with the part may be sent after that, over all gateways. */
const maxSends = 3;
/** Share of harmless requests that must be served at the first attempt, as a share of those before the first crash. */
const minServed = 0.5;
/** Result codes of requests that are refused because targets crashed. */
const refusalNumbers = new Set<number>([requestCodes.crashesTargets.number, requestCodes.promptCrashesTargets.number]);
/** Minimum number of requests on which shares are compared. */
const minSample = 20;

/**
 * Checks what callers and targets rely on while requests with deadly parts come: that few of them are sent, that
 * harmless requests are served, unless targets also crash by themselves, and that none of these is refused for good.
 *
 * @returns What is wrong; empty if nothing is.
 */
export function checkDeadlyParts(site: CrashingSite, outage = noOutage): string[] {
    const harmless = site.outcomes.filter(({ body }) => deadlyIn(body).length === 0);
    const refused = harmless.filter(outcome => isRefusedForGood(outcome)).length;
    const parts = [...site.arrivals.keys()].filter(key => key.startsWith("deadly"));
    return [
        ...refused > 0 ? [`${refused} harmless requests refused for good`] : [],
        ...parts.flatMap(part => checkSends(site, part, outage)),
        ...site.crashesByThemselves ? [] : parts.flatMap(part => checkServed(site, part, harmless, outage)),
    ];
}

/** Counts the sends of requests with a part later than the contact time after the crash that counts. */
export function countLateSends({ crashes, arrivals }: CrashingSite, part: string, outage = noOutage): number {
    const crashedAt = crashes.get(part)?.[lastFreeCrash] ?? Infinity;
    const hasContact = (time: number) => time < outage.start || time > outage.end + contactTime;
    return (arrivals.get(part) ?? []).filter(time => time > crashedAt + contactTime && hasContact(time)).length;
}

/**
 * The share of harmless requests that are served at the first attempt: before the first crash, and from twice the
 * contact time after the crash that counts on, without those around an outage of the store.
 */
export function servedShares(site: CrashingSite, part: string, harmless: readonly CallerOutcome[], outage = noOutage) {
    const crashes = site.crashes.get(part) ?? [];
    const first = crashes[0] ?? Infinity;
    const from = (crashes[lastFreeCrash] ?? crashes.at(-1) ?? Infinity) + 2 * contactTime;
    const isCalm = (time: number) => time < outage.start - contactTime || time > outage.end + 2 * contactTime;
    const before = harmless.filter(({ startedAt }) => startedAt < first - contactTime);
    const after = harmless.filter(({ startedAt }) => startedAt > from && isCalm(startedAt));
    return { before: shareServed(before), after: shareServed(after) };
}

function checkSends(site: CrashingSite, part: string, outage: Outage): string[] {
    const sends = countLateSends(site, part, outage);
    return sends > maxSends ? [`${sends} sends of ${part}`] : [];
}

function checkServed(
    site: CrashingSite,
    part: string,
    harmless: readonly CallerOutcome[],
    outage: Outage,
): string[] {
    const { before = 1, after } = servedShares(site, part, harmless, outage);
    return after !== undefined && after < minServed * before
        ? [`${after.toFixed(3)} of the harmless requests served beside ${part}, ${before.toFixed(3)} before`]
        : [];
}

function shareServed(outcomes: readonly CallerOutcome[]): number | undefined {
    const served = outcomes.filter(({ isServed, failures }) => isServed && failures.length === 0).length;
    return outcomes.length < minSample ? undefined : served / outcomes.length;
}

function isRefusedForGood({ failures }: CallerOutcome): boolean {
    return failures.some(({ result, hasRetryAfter }) => !hasRetryAfter && refusalNumbers.has(result ?? 0));
}
