/** Requests in flight by the first target of their chain. */
type HeadLoads = Readonly<Record<string, number>>;

/** The part of all requests in flight that are this gateway's; 0 while there are none. */
export function loadShare(own: HeadLoads, others: HeadLoads): number {
    const total = sum(own) + sum(others);
    return total === 0 ? 0 : sum(own) / total;
}

function sum(loads: HeadLoads): number {
    return Object.values(loads).reduce((total, load) => total + load, 0);
}
