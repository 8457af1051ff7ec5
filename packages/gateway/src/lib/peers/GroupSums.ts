import * as z from "zod/mini";
import { type PeerState } from "./PeerState.js";

/** What several gateways together told of themselves. */
export const groupSumsSchema = z.object({
    /** How many gateways these are. */
    members: z.number(),
    /** The newest term under which one of them holds the placement duty. */
    dutyTerm: z.optional(z.number()),
    /** Of those that could take the duty, the first by name. */
    firstCandidate: z.optional(z.string()),
    /** Requests in flight, by the first target of their chain. */
    chainLoads: z.record(z.string(), z.number()),
    /** How many of them take a target for lost, by its id. */
    suspects: z.record(z.string(), z.number()),
    /** Targets that crashed under a request, by its digest. */
    crashes: z._default(z.record(z.string(), z.number()), {}),
    /** The largest slowdown that one of them knows, by the id of the target. */
    slowTargets: z.record(z.string(), z.number()),
});

/** @public */
export type GroupSums = z.infer<typeof groupSumsSchema>;

/**
 * Entries of each table that go into one datagram, the largest first. With full tables of ids of twelve characters a heartbeat stays
 * below 1,200 bytes, so that no network on the way splits it.
 */
const mostEntries = { chainLoads: 10, suspects: 7, slowTargets: 4, crashes: 6 };

/** What one gateway told, as a sum. */
export function sumsOf(process: string, state: PeerState): GroupSums {
    return {
        members: 1,
        dutyTerm: state.dutyTerm,
        firstCandidate: state.mayTakeDuty ? process : undefined,
        chainLoads: state.chainLoads,
        suspects: Object.fromEntries(state.suspects.map(id => [id, 1])),
        slowTargets: state.slowTargets,
        crashes: state.crashes,
    };
}

/** The sum over groups that have no gateway in common. */
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
    };
}

/**
 * A sum without one of its gateways, by what that one told. The largest slowdowns, the term and the candidate stay, since
 * they may be another one's as well.
 */
export function withoutMember(sums: GroupSums, state: PeerState): GroupSums {
    const suspects = { ...sums.suspects };
    state.suspects.forEach(id => lower(suspects, id, 1));
    const chainLoads = { ...sums.chainLoads };
    Object.entries(state.chainLoads).forEach(([id, load]) => lower(chainLoads, id, load));
    const crashes = { ...sums.crashes };
    Object.entries(state.crashes).forEach(([digest, count]) => lower(crashes, digest, count));
    return { ...sums, members: sums.members - 1, suspects, chainLoads, crashes };
}

/** A sum that fits into a heartbeat: of each table the largest entries. */
export function boundSums(sums: GroupSums): GroupSums {
    return {
        ...sums,
        chainLoads: largest(sums.chainLoads, mostEntries.chainLoads),
        suspects: largest(sums.suspects, mostEntries.suspects),
        slowTargets: largest(sums.slowTargets, mostEntries.slowTargets),
        crashes: largest(sums.crashes, mostEntries.crashes),
    };
}

/** A gateway's own word that fits into a heartbeat, cut like the sums; crashes come in the order in which they matter. */
export function boundState(state: PeerState): PeerState {
    return {
        ...state,
        suspects: state.suspects.slice(0, mostEntries.suspects),
        chainLoads: largest(state.chainLoads, mostEntries.chainLoads),
        slowTargets: largest(state.slowTargets, mostEntries.slowTargets),
        crashes: Object.fromEntries(Object.entries(state.crashes).slice(0, mostEntries.crashes)),
    };
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

function lower(table: Record<string, number>, id: string, by: number): void {
    const value = table[id];
    if (value !== undefined) {
        table[id] = Math.max(0, value - by);
    }
}

function largest(table: Readonly<Record<string, number>>, count: number): Record<string, number> {
    const entries = Object.entries(table);
    if (entries.length <= count) {
        return table;
    }
    return Object.fromEntries(entries.sort(([, a], [, b]) => b - a).slice(0, count));
}
