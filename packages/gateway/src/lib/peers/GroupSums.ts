import * as z from "zod/mini";
import { joinCrashSets, sizeOfCrashSet } from "../crashes/CrashSet.js";
import { ageStatements, limitStatementSchema, newestStatements, truncateStatements } from "../limits/LimitStatement.js";
import { type PeerState } from "./PeerState.js";

/** The aggregated state of several gateways. */
export const groupSumsSchema = z.object({
    /** The number of gateways. */
    members: z.number(),
    /** The newest term under which any of them holds the lease of the placement duty. */
    dutyTerm: z.optional(z.number()),
    /** The first by name of those that may take the placement duty. */
    firstCandidate: z.optional(z.string()),
    /** Number of requests in flight, by the id of the first target of their chain. */
    chainLoads: z.record(z.string(), z.number()),
    /** Number of gateways that suspect a target of having failed, by its id. */
    suspects: z.record(z.string(), z.number()),
    /** Number of targets that crashed while running a request, by the digest of the request. */
    crashes: z._default(z.record(z.string(), z.number()), {}),
    /** The targets that crashed while running prompts with a part, as a {@link CrashSet}, by the part. */
    partCrashes: z._default(z.record(z.string(), z.number()), {}),
    /** Milliseconds since a prompt with a part last ran without a crash at any of them. */
    safeRuns: z._default(z.record(z.string(), z.number()), {}),
    /** The largest slowdown known to any of them, by the id of the target. */
    slowTargets: z.record(z.string(), z.number()),
    /** The newest statement that any of them knows of a target's limit, by the incarnation of the target. */
    limits: z._default(z.record(z.string(), limitStatementSchema), {}),
    /** The number of gateways that are overloaded; undefined if none is. */
    overloaded: z.optional(z.number()),
});

/** @public */
export type GroupSums = z.infer<typeof groupSumsSchema>;

/**
 * Maximum entries of all tables in one datagram. With ids of twelve characters a heartbeat stays below 1,200 bytes, so
 * that no network fragments it.
 */
const maxTotalEntries = 26;
/**
 * Maximum entries of each table, largest first. Slow targets get what the other tables leave of the total, but at least
 * this number: when many are slow at the same time, gateways that do not know them build chains over them.
 */
const maxEntries = { chainLoads: 10, suspects: 7, crashes: 6, partCrashes: 3, safeRuns: 3 };
const minSlowTargets = 4;
/**
 * Maximum statements of limits, the newest first. Each takes the room of two chain loads, a safe run that of one, and
 * the crashes of a part those of a request.
 */
const maxLimits = 2;
const entriesPerLimit = 2;
/** Number of sets of crashes whose digits, beyond those of a count, take the room of another entry. */
const crashSetsPerEntry = 2;

/** The state of one gateway, as a sum. */
export function sumsOf(process: string, state: PeerState): GroupSums {
    return {
        members: 1,
        dutyTerm: state.dutyTerm,
        firstCandidate: state.mayTakeDuty ? process : undefined,
        chainLoads: state.chainLoads,
        suspects: Object.fromEntries(state.suspects.map(id => [id, 1])),
        slowTargets: state.slowTargets,
        crashes: state.crashes,
        partCrashes: state.partCrashes,
        safeRuns: state.safeRuns,
        limits: state.limits,
        ...overloadedOf(state.isOverloaded === true ? 1 : 0),
    };
}

/** Adds the sums of disjoint groups of gateways. */
export function addSums(parts: readonly GroupSums[]): GroupSums {
    const terms = parts.flatMap(({ dutyTerm }) => dutyTerm ?? []);
    const candidates = parts.flatMap(({ firstCandidate }) => firstCandidate ?? []).sort();
    return {
        members: parts.reduce((sum, { members }) => sum + members, 0),
        dutyTerm: terms.length === 0 ? undefined : Math.max(...terms),
        firstCandidate: candidates[0],
        chainLoads: combine(parts.map(({ chainLoads }) => chainLoads), (a, b) => a + b),
        suspects: combine(parts.map(({ suspects }) => suspects), (a, b) => a + b),
        slowTargets: combine(parts.map(({ slowTargets }) => slowTargets), Math.max),
        crashes: combine(parts.map(({ crashes }) => crashes), (a, b) => a + b),
        partCrashes: combine(parts.map(({ partCrashes }) => partCrashes), joinCrashSets),
        safeRuns: combine(parts.map(({ safeRuns }) => safeRuns), Math.min),
        limits: newestStatements(parts.map(({ limits }) => limits)),
        ...overloadedOf(parts.reduce((sum, { overloaded = 0 }) => sum + overloaded, 0)),
    };
}

/** Adds the time for which a sum was held to the ages in it. */
export function ageSums(sums: GroupSums, heldFor: number): GroupSums {
    const safeRuns = Object.fromEntries(
        Object.entries(sums.safeRuns).map(([part, age]) => [part, Math.round(age + heldFor)]),
    );
    return { ...sums, safeRuns, limits: ageStatements(sums.limits, heldFor) };
}

/**
 * Removes one gateway from a sum, given the state that it reported. The largest slowdowns, the limits, the crashes of
 * parts, the safe runs, the term and the candidate stay, since they may also come from another gateway.
 */
export function withoutMember(sums: GroupSums, state: PeerState): GroupSums {
    const suspects = { ...sums.suspects };
    state.suspects.forEach(id => subtract(suspects, id, 1));
    const chainLoads = { ...sums.chainLoads };
    Object.entries(state.chainLoads).forEach(([id, load]) => subtract(chainLoads, id, load));
    const crashes = { ...sums.crashes };
    Object.entries(state.crashes).forEach(([digest, count]) => subtract(crashes, digest, count));
    const { overloaded = 0, ...others } = sums;
    const overload = overloadedOf(overloaded - (state.isOverloaded === true ? 1 : 0));
    return { ...others, ...overload, members: sums.members - 1, suspects, chainLoads, crashes };
}

/** A count of overloaded gateways; left out if there are none, to save room in heartbeats. */
function overloadedOf(count: number): Pick<GroupSums, "overloaded"> {
    return count > 0 ? { overloaded: count } : {};
}

/** Truncates each table of a sum to its largest entries, so that the sum fits into a heartbeat. */
export function truncateSums(sums: GroupSums): GroupSums {
    const limits = truncateStatements(sums.limits, maxLimits);
    const safeRuns = smallest(sums.safeRuns, maxEntries.safeRuns);
    const partCrashes = first(
        sums.partCrashes,
        maxEntries.partCrashes,
        (a, b) => sizeOfCrashSet(b) - sizeOfCrashSet(a),
    );
    const chainLoads = largest(sums.chainLoads, chainLoadsBeside(limits, safeRuns, partCrashes));
    const suspects = largest(sums.suspects, maxEntries.suspects);
    const crashes = largest(sums.crashes, maxEntries.crashes - Object.keys(partCrashes).length);
    const tables = { chainLoads, suspects, crashes, partCrashes, safeRuns, limits };
    return { ...sums, ...tables, slowTargets: largest(sums.slowTargets, entriesLeft(tables)) };
}

/** Truncates a gateway's own state like {@link truncateSums}, except that crashes are already sorted by importance. */
export function truncateState(state: PeerState): PeerState {
    const suspects = state.suspects.slice(0, maxEntries.suspects);
    const limits = truncateStatements(state.limits, maxLimits);
    const safeRuns = smallest(state.safeRuns, maxEntries.safeRuns);
    const partCrashes = Object.fromEntries(Object.entries(state.partCrashes).slice(0, maxEntries.partCrashes));
    const chainLoads = largest(state.chainLoads, chainLoadsBeside(limits, safeRuns, partCrashes));
    const maxCrashes = maxEntries.crashes - Object.keys(partCrashes).length;
    const crashes = Object.fromEntries(Object.entries(state.crashes).slice(0, maxCrashes));
    const tables = { chainLoads, suspects, crashes, partCrashes, safeRuns, limits };
    return { ...state, ...tables, slowTargets: largest(state.slowTargets, entriesLeft(tables)) };
}

/** Returns the number of slow targets that fit into a datagram beside the entries of the other tables. */
function entriesLeft(
    tables: Readonly<Record<"limits" | "partCrashes", object>> & Readonly<Record<string, object>>,
): number {
    const { limits, partCrashes } = tables;
    const entries = Object.values(tables).reduce((sum, table) => sum + Object.keys(table).length, 0);
    const largeEntries = Object.keys(limits).length * (entriesPerLimit - 1)
        + Math.ceil(Object.keys(partCrashes).length / crashSetsPerEntry);
    return Math.max(minSlowTargets, maxTotalEntries - entries - largeEntries);
}

/** Returns the number of chain loads that fit into a datagram beside limits, safe runs and crashes of parts. */
function chainLoadsBeside(limits: object, safeRuns: object, partCrashes: object): number {
    const roomOfParts = Object.keys(safeRuns).length + Math.ceil(Object.keys(partCrashes).length / crashSetsPerEntry);
    return maxEntries.chainLoads - roomOf(limits) - roomOfParts;
}

function roomOf(limits: object): number {
    return Object.keys(limits).length * entriesPerLimit;
}

function combine(
    tables: readonly Readonly<Record<string, number>>[],
    join: (a: number, b: number) => number,
): Record<string, number> {
    const joined = new Map<string, number>();
    for (const [id, value] of tables.flatMap(table => Object.entries(table))) {
        const known = joined.get(id);
        joined.set(id, known === undefined ? value : join(known, value));
    }
    return Object.fromEntries(joined);
}

function subtract(table: Record<string, number>, id: string, by: number): void {
    const value = table[id];
    if (value !== undefined) {
        table[id] = Math.max(0, value - by);
    }
}

function largest(table: Readonly<Record<string, number>>, count: number): Record<string, number> {
    return first(table, count, (a, b) => b - a);
}

function smallest(table: Readonly<Record<string, number>>, count: number): Record<string, number> {
    return first(table, count, (a, b) => a - b);
}

/** Truncates a table to its first entries by an order of their values. */
function first(
    table: Readonly<Record<string, number>>,
    count: number,
    compare: (a: number, b: number) => number,
): Record<string, number> {
    const entries = Object.entries(table);
    return entries.length <= count
        ? table
        : Object.fromEntries(entries.sort(([, a], [, b]) => compare(a, b)).slice(0, count));
}

/** The sums of no gateways. */
export const emptySums: GroupSums = addSums([]);

/** The sums that cover the most gateways. */
export function largestSums(sums: readonly GroupSums[]): GroupSums {
    return sums.reduce((best, next) => next.members > best.members ? next : best, emptySums);
}
