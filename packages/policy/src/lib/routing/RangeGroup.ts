import { type CompleteRouterOptions } from "./RouterOptions.js";
import { type TargetState } from "./TargetState.js";

/** Distance of a target from this entry, nearest first. */
const tiers = ["dataCentre", "region", "elsewhere"] as const;

interface Member {
    readonly state: TargetState;
    readonly tier: number;
    readonly score: number;
}

/**
 * The targets that hold one layer range of a model version, and the subset of them that this entry uses. The subset has
 * a quota for the entry's data centre, one for the rest of its region and one for other regions, each filled in order
 * of rendezvous score.
 *
 * @internal
 */
export class RangeGroup {
    /** Usable members of the subset, nearest first. Unusable members are replaced by the next in order. */
    active: readonly TargetState[] = [];
    /** The number of active members in the nearest tier that has any. */
    near = 0;
    /** The subset when all members are usable; its members are probed while they are unusable. */
    subset: readonly TargetState[] = [];
    private readonly members: Member[] = [];
    private stale = true;

    /**
     * @param first - The first layer of the range.
     * @param last - The last layer of the range, inclusive.
     */
    constructor(readonly first: number, readonly last: number, private readonly options: CompleteRouterOptions) {}

    add(state: TargetState, score: number): void {
        const { dataCentre, region } = state.target;
        const tier = dataCentre === this.options.dataCentre ? 0 : region === this.options.region ? 1 : 2;
        this.members.push({ state, tier, score });
    }

    /** Sorts the members and selects the subset. Must be called once, after the last member was added. */
    complete(): void {
        this.members.sort((a, b) => a.tier - b.tier || b.score - a.score);
        this.subset = this.select(this.members).map(member => member.state);
        this.stale = true;
    }

    /** Marks {@link RangeGroup.active} as outdated after a member became usable or unusable. */
    invalidate(): void {
        this.stale = true;
    }

    /** Brings {@link RangeGroup.active} up to date. */
    refresh(): void {
        if (!this.stale) {
            return;
        }
        this.stale = false;
        const selected = this.select(this.members.filter(member => member.state.isUsable()));
        this.active = selected.map(member => member.state);
        const nearest = selected[0]?.tier;
        this.near = selected.filter(member => member.tier === nearest).length;
    }

    private select(members: readonly Member[]): readonly Member[] {
        const { subsetSize, wholeRange, localShare, regionShare } = this.options;
        if (this.members.length <= wholeRange) {
            return members;
        }
        const quotas = [subsetSize * localShare, subsetSize * regionShare, subsetSize * (1 - localShare - regionShare)];
        const picked = new Set<Member>();
        tiers.forEach((_, tier) => {
            const inTier = members.filter(member => member.tier === tier);
            inTier.slice(0, Math.round(quotas[tier]!)).forEach(member => picked.add(member));
        });
        // Quotas that a tier cannot fill go to the other tiers, nearest first.
        for (const member of members) {
            if (picked.size >= subsetSize) {
                break;
            }
            picked.add(member);
        }
        return members.filter(member => picked.has(member));
    }
}
