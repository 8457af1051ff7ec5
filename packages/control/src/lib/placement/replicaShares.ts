/**
 * The memory that a data centre offers.
 *
 * @internal
 */
export interface SiteCapacity {
    readonly dataCentre: string;
    /** Bytes of memory of all its targets. */
    readonly memory: number;
}

interface Share {
    readonly dataCentre: string;
    readonly exact: number;
    count: number;
}

/**
 * Divides the replicas of a model over data centres in proportion to their memory, by largest remainders. Every process
 * with the same configuration gets the same result, so that the holders of the data centres' duties need not agree.
 *
 * @returns How many replicas each data centre is to hold; their sum is `replicas`.
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
