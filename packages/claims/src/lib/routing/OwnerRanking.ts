import { type Address } from "@waxwingspar/transport";
import { type Clock } from "@waxwingspar/utils";
import { rendezvousScore } from "./partitionOf.js";

/**
 * A process that may serve partitions.
 *
 * @public
 */
export interface ClaimOwner {
    /** The name of the process. */
    readonly process: string;
    readonly address: Address;
}

/**
 * Ranks the owners of a partition by rendezvous hashing, so that all entries with the same list agree, and the loss of
 * one process moves only the partitions that it owned.
 *
 * @internal
 */
export class OwnerRanking {
    private list: readonly ClaimOwner[] = [];
    private readonly ranks = new Map<number, readonly ClaimOwner[]>();
    private readonly avoided = new Map<string, number>();

    /**
     * @param owners - Returns the live processes. The same array object means an unchanged list.
     * @param clock - The clock for {@link OwnerRanking.avoid}.
     */
    constructor(private readonly owners: () => readonly ClaimOwner[], private readonly clock: Clock) {}

    /** The owners of a partition in order of preference; those to be avoided come last. */
    rank(partition: number): readonly ClaimOwner[] {
        const ranked = this.cachedRanking(partition);
        const now = this.clock.now();
        const avoids = ({ process }: ClaimOwner) => (this.avoided.get(process) ?? -Infinity) > now;
        return [...ranked.filter(owner => !avoids(owner)), ...ranked.filter(avoids)];
    }

    /** Ranks an unreachable process last for a duration in milliseconds. */
    avoid(process: string, duration: number): void {
        const now = this.clock.now();
        for (const [name, until] of this.avoided) {
            if (until <= now) {
                this.avoided.delete(name);
            }
        }
        this.avoided.set(process, now + duration);
    }

    private cachedRanking(partition: number): readonly ClaimOwner[] {
        const owners = this.owners();
        if (owners !== this.list) {
            this.list = owners;
            this.ranks.clear();
        }
        const known = this.ranks.get(partition);
        if (known !== undefined) {
            return known;
        }
        const ranked = rankByScore(owners, partition);
        this.ranks.set(partition, ranked);
        return ranked;
    }
}

/** Number of owners kept in the ranking of a partition. */
const maxRanked = 4;

function rankByScore(owners: readonly ClaimOwner[], partition: number): readonly ClaimOwner[] {
    const scored = owners.map(owner => ({ owner, score: rendezvousScore(partition, owner.process) }));
    scored.sort((a, b) => b.score - a.score || (a.owner.process < b.owner.process ? -1 : 1));
    return scored.slice(0, maxRanked).map(({ owner }) => owner);
}
