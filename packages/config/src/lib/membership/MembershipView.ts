import { type Member } from "./Member.js";
import { rankByWeight } from "./rendezvous.js";

interface Ranking {
    readonly usable: readonly Member[];
    readonly ranked: readonly Member[];
}

/**
 * The members at a point in time, with indexes that are built once and reused until something changes.
 *
 * @internal
 */
export class MembershipView {
    private readonly rankings = new Map<string, Ranking>();
    private readonly previousRankings: ReadonlyMap<string, Ranking>;
    private centres: ReadonlyMap<string, readonly Member[]> | undefined;

    /**
     * @param members - The members; an unchanged member is the same object as in the previous view.
     * @param until - The time at which the view expires even without an event.
     * @param previous - The previous view, whose rankings are reused for data centres that have not changed.
     */
    constructor(readonly members: readonly Member[], readonly until: number, previous?: MembershipView) {
        this.previousRankings = previous?.rankings ?? new Map<string, Ranking>();
    }

    /** The names of all data centres. */
    get dataCentres(): readonly string[] {
        return [...this.byCentre().keys()];
    }

    /** The usable processes of a data centre, in the order in which they are readers. */
    ranked(dataCentre: string): readonly Member[] {
        const known = this.rankings.get(dataCentre);
        if (known !== undefined) {
            return known.ranked;
        }
        const usable = (this.byCentre().get(dataCentre) ?? []).filter(one => one.state === "live" && !one.suspect);
        const earlier = this.previousRankings.get(dataCentre);
        const same = earlier !== undefined && areSame(earlier.usable, usable);
        const ranking = same ? earlier : { usable, ranked: rankByWeight(`reader/${dataCentre}`, usable) };
        this.rankings.set(dataCentre, ranking);
        return ranking.ranked;
    }

    private byCentre(): ReadonlyMap<string, readonly Member[]> {
        this.centres ??= groupByCentre(this.members);
        return this.centres;
    }
}

function areSame(one: readonly Member[], other: readonly Member[]): boolean {
    return one.length === other.length && one.every((member, index) => member === other[index]);
}

function groupByCentre(members: readonly Member[]): Map<string, Member[]> {
    const groups = new Map<string, Member[]>();
    for (const member of members) {
        const group = groups.get(member.dataCentre);
        if (group === undefined) {
            groups.set(member.dataCentre, [member]);
        }
        else {
            group.push(member);
        }
    }
    return groups;
}
