import { type Clock } from "@waxwingspar/utils";
import { GroupSize } from "./GroupSize.js";
import { type GatewayCounts, IssuerShare } from "./IssuerShare.js";

/** Milliseconds after joining until this process knows the gateways of its data centre: five heartbeats. */
const settleTime = 1_000;
/**
 * Milliseconds for which gateways that were lost count as partitioned: as long as streams take that they had in flight.
 * Processes are killed far more often than data centres are cut in two, and each loss would take its part of the slots
 * away from callers. Of a longer partition, the refusals of targets that are full tell.
 */
const lossRetention = 5_000;
/** Share of the slots that a process issues before it has joined the group: see {@link GroupSize}. */
const initialShare = 1 / 8;

/**
 * The part of the slots of heads that this gateway may use: after a cut, the gateways of a data centre may have two
 * issuers for some time, and each issues a part.
 */
export class SlotShare {
    private readonly local: GroupSize;
    private readonly issuer: IssuerShare;
    private joinedAt = Infinity;
    private foundNobody = false;
    private counts: GatewayCounts = { dataCentre: 1, all: 1 };

    constructor(private readonly clock: Clock) {
        this.local = new GroupSize(clock);
        this.issuer = new IssuerShare(clock, lossRetention);
    }

    /** Records that this process has joined the group, with the numbers of gateways in the store's table. */
    join(known: GatewayCounts): void {
        this.joinedAt = this.clock.now();
        this.foundNobody = known.all === 1;
        this.local.join(known.dataCentre);
        this.issuer.join(known);
    }

    /** Records the numbers of gateways in contact. */
    record(counts: GatewayCounts): void {
        this.counts = counts;
        this.local.record(counts.dataCentre);
        this.issuer.record(counts);
    }

    /** The largest recent number of gateways of the own data centre; infinite until they are known. */
    get localSize(): number {
        if (this.isAlone) {
            return 1;
        }
        return this.clock.now() < this.joinedAt + settleTime ? Infinity : this.local.value;
    }

    /** The number of gateways of the own data centre in contact, including this one. */
    get localMembers(): number {
        return this.counts.dataCentre;
    }

    /** The share of the slots that this gateway issues, from 0 to 1. */
    get value(): number {
        if (this.isAlone) {
            return 1;
        }
        return this.joinedAt === Infinity ? initialShare : this.issuer.value;
    }

    /**
     * Whether the store's table named no other gateway and none has been heard. When a whole site starts, that holds for
     * the first gateway until the first heartbeat.
     */
    private get isAlone(): boolean {
        return this.foundNobody && this.counts.all === 1;
    }
}
