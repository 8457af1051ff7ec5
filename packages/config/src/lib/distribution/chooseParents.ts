import { type Member } from "../membership/Member.js";
import { rankByWeight } from "../membership/rendezvous.js";

/** The number of preferred parents from the tier above. */
const parentsPerTier = 2;
/** The maximum number of readers of other data centres among the parents. */
const maxRemoteReaders = 4;

/** The input of {@link chooseParents}. @internal */
export interface ParentChoice {
    readonly self: string;
    /** The usable processes of the own data centre, including this process, with the readers first. */
    readonly ranked: readonly Member[];
    readonly readers: number;
    /** The intended number of children of one process. */
    readonly fanOut: number;
    /** Readers of other data centres. */
    readonly remote: readonly Member[];
}

/**
 * Chooses the processes from which a process fetches changes, the preferred ones first. The processes of a data centre
 * form tiers: the readers, then `fanOut` times as many in each further tier. The parent is a process of the tier above,
 * chosen by rendezvous weight, so that the loss of a process moves only its own children. After the two processes with
 * the highest weights come the readers, then readers of other data centres, so that a process finds an up-to-date peer
 * as long as it can reach any of these.
 *
 * @internal
 */
export function chooseParents({ self, ranked, readers, fanOut, remote }: ParentChoice): Member[] {
    const above = tierAbove(ranked.findIndex(one => one.process === self), readers, fanOut);
    const tier = rankByWeight(`parent/${self}`, ranked.slice(above.from, above.to)).slice(0, parentsPerTier);
    const remoteParents = rankByWeight(`remote/${self}`, remote).slice(0, maxRemoteReaders);
    const choices = [...tier, ...ranked.slice(0, readers), ...remoteParents].filter(one => one.process !== self);
    const names = choices.map(one => one.process);
    return choices.filter((one, index) => names.indexOf(one.process) === index);
}

/** The ranks of the tier above a rank. A process without a rank (-1) has the readers as its parents. */
function tierAbove(rank: number, readers: number, fanOut: number): { from: number; to: number; } {
    let from = 0;
    let to = readers;
    for (let size = readers * fanOut; rank >= to + size; size *= fanOut) {
        from = to;
        to += size;
    }
    return { from, to };
}
