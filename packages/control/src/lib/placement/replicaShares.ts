/**
 * The memory capacity of a data centre.
 *
 * @internal
 */
export interface SiteCapacity {
    readonly dataCentre: string;
    /** Total bytes of memory of its targets. */
    readonly memory: number;
}

interface Share {
    readonly dataCentre: string;
    readonly exact: number;
    count: number;
}

/**
 * Divides the replicas of a model over data centres in proportion to their memory, by the largest remainder method.
 * Every process with the same configuration computes the same result, so the holders of the data centres' duties need
 * no coordination.
 *
 * @returns The number of replicas for each data centre. The numbers add up to `replicas` unless there is no memory.
 * @internal
 */
export function replicaShares(replicas: number, sites: readonly SiteCapacity[]): Map<string, number> {
    const memory = sites.reduce((sum, site) => sum + site.memory, 0);
    const shares: Share[] = sites.map(({ dataCentre, memory: own }) => {
        const exact = memory === 0 ? 0 : replicas * own / memory;
        return { dataCentre, exact, count: Math.floor(exact) };
    });
    const left = memory === 0 ? 0 : replicas - shares.reduce((sum, share) => sum + share.count, 0);
    const byRemainder = [...shares].sort((a, b) =>
        b.exact - b.count - (a.exact - a.count) || (a.dataCentre < b.dataCentre ? -1 : 1)
    );
    byRemainder.slice(0, left).forEach(share => share.count++);
    return new Map(shares.map(({ dataCentre, count }) => [dataCentre, count]));
}
