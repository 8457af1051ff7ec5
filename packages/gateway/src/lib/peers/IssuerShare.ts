import { type Clock } from "@waxwingspar/utils";
import { GroupSize } from "./GroupSize.js";

/** Numbers of gateways, each including this one. */
export interface GatewayCounts {
    readonly dataCentre: number;
    readonly all: number;
}

/**
 * The share of a target's limit that this gateway may issue. After a cut, gateways that do not know of each other yet
 * may issue for the same target: two of one data centre, both in contact with all others, or one on each side of a cut
 * between data centres. The shares of all of them add up to 1 at most.
 */
export class IssuerShare {
    private readonly dataCentre: GroupSize;
    private readonly all: GroupSize;
    private counts: GatewayCounts = { dataCentre: 1, all: 1 };

    /** @param retention - Milliseconds for which gateways that were lost count as partitioned. */
    constructor(clock: Clock, retention?: number) {
        this.dataCentre = new GroupSize(clock, retention);
        this.all = new GroupSize(clock, retention);
    }

    /** Records that this process has joined the group, with the numbers of gateways in the store's table. */
    join(known: GatewayCounts): void {
        this.dataCentre.join(known.dataCentre);
        this.all.join(known.all);
    }

    /** Records the numbers of gateways in contact. */
    record(counts: GatewayCounts): void {
        this.counts = counts;
        this.dataCentre.record(counts.dataCentre);
        this.all.record(counts.all);
    }

    /** The largest recent number of gateways; infinite before this process has joined. */
    get groupSize(): number {
        return this.all.value;
    }

    /** From 0 to 1. */
    get value(): number {
        const { dataCentre, all } = this.counts;
        return Math.min(1, dataCentre / this.dataCentre.value, all / this.all.value);
    }
}
