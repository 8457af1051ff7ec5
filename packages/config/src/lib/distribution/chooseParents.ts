import { type Member } from "../membership/Member.js";
import { rankByWeight } from "../membership/rendezvous.js";

const parentsOfTier = 2;
const otherCentres = 4;

/** What the choice of parents depends on. @internal */
export interface ParentChoice {
    readonly self: string;
    /** The usable processes of the own data centre, readers first, this process included. */
    readonly ranked: readonly Member[];
    readonly readers: number;
    /** How many processes are meant to learn from one. */
    readonly fanOut: number;
    /** Readers of other data centres. */
    readonly remote: readonly Member[];
}

/**
 * Chooses from whom a process learns, the best first. The processes of a data centre form tiers: the readers, then
 * `fanOut` times as many in each tier. A process learns from one of the tier above, which rendezvous weights choose, so
 * that the loss of one moves only those who learned from it. Behind the two best come the readers, then readers
 * elsewhere; so any two processes that can talk to anyone fresh do.
 *
 * @internal
 */
export function chooseParents({ self, ranked, readers, fanOut, remote }: ParentChoice): Member[] {
    const above = tierAbove(ranked.findIndex(one => one.process === self), readers, fanOut);
    const tier = rankByWeight(`parent/${self}`, ranked.slice(above.from, above.to)).slice(0, parentsOfTier);
    const far = rankByWeight(`remote/${self}`, remote).slice(0, otherCentres);
    const choices = [...tier, ...ranked.slice(0, readers), ...far].filter(one => one.process !== self);
    const names = choices.map(one => one.process);
    return choices.filter((one, index) => names.indexOf(one.process) === index);
}

/** The ranks of the tier above a rank. A process that is not ranked learns like one of the last tier. */
function tierAbove(rank: number, readers: number, fanOut: number): { from: number; to: number; } {
    let from = 0;
    let to = readers;
    for (let size = readers * fanOut; rank >= to + size; size *= fanOut) {
        from = to;
        to += size;
    }
    return { from, to };
}
