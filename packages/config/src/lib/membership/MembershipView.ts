import { type Member } from "./Member.js";
import { rankByWeight } from "./rendezvous.js";

/**
 * The members at one moment, with look-ups that are built once and kept until something changes.
 *
 * @internal
 */
export class MembershipView {
    private readonly rankings = new Map<string, readonly Member[]>();
    private centres: ReadonlyMap<string, readonly Member[]> | undefined;

    /** @param until - When the view is out of date by the passing of time alone. */
    constructor(readonly members: readonly Member[], readonly until: number) {}

    /** The names of all data centres. */
    get dataCentres(): readonly string[] {
        return [...this.byCentre().keys()];
    }

    /** The usable processes of a data centre, in the order in which they are readers. */
    ranked(dataCentre: string): readonly Member[] {
        const known = this.rankings.get(dataCentre);
        if (known !== undefined) {
            return known;
        }
        const usable = (this.byCentre().get(dataCentre) ?? []).filter(one => one.state === "live" && !one.suspect);
        const ranked = rankByWeight(`reader/${dataCentre}`, usable);
        this.rankings.set(dataCentre, ranked);
        return ranked;
    }

    private byCentre(): ReadonlyMap<string, readonly Member[]> {
        this.centres ??= groupByCentre(this.members);
        return this.centres;
    }
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
