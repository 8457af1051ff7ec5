import { type CompleteRouterOptions } from "./RouterOptions.js";
import { type TargetState } from "./TargetState.js";

/** How far a target is from this entry. */
const tiers = ["dataCentre", "region", "elsewhere"] as const;

interface Member {
    readonly state: TargetState;
    readonly tier: number;
    readonly score: number;
}

/**
 * The targets that hold one layer range of a model version, and the subset of them that this entry uses: a quota from
 * its own data centre, one from its region and the rest from elsewhere, each filled in the order of rendezvous scores.
 *
 * @internal
 */
export class RangeGroup {
    /** Members in use now, near ones first. Those out of use have been replaced by the next in order. */
    active: readonly TargetState[] = [];
    /** How many of the active members are in the nearest tier that has any. */
    near = 0;
    /** Members of the subset while all are well; these are probed when they are out of use. */
    chosen: readonly TargetState[] = [];
    private readonly members: Member[] = [];
    private stale = true;

    /**
     * @param first - The first layer of the range.
     * @param last - The last layer, included.
     */
    constructor(readonly first: number, readonly last: number, private readonly options: CompleteRouterOptions) {}

    add(state: TargetState, score: number): void {
        const { dataCentre, region } = state.target;
        const tier = dataCentre === this.options.dataCentre ? 0 : region === this.options.region ? 1 : 2;
        this.members.push({ state, tier, score });
    }

    /** Sorts the members and chooses the subset. To be called once, after the last member was added. */
    complete(): void {
        this.members.sort((a, b) => a.tier - b.tier || b.score - a.score);
        this.chosen = this.select(this.members).map(member => member.state);
        this.stale = true;
    }

    /** Some member came into use or went out of it. */
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
        // Tiers with too few members leave room, which near ones fill first.
        for (const member of members) {
            if (picked.size >= subsetSize) {
                break;
            }
            picked.add(member);
        }
        return members.filter(member => picked.has(member));
    }
}
