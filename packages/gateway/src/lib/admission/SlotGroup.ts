import { type PermitGroup } from "../limits/SendPermits.js";

/** The group of gateways that share the slots of heads. */
export interface SlotGroup extends Pick<PermitGroup, "address" | "findIssuer" | "groupSize" | "send"> {
    /** Data centre of this gateway. */
    readonly dataCentre: string;
    /**
     * Number of gateways of the own data centre that may exist, including this one and those that are partitioned;
     * infinite while unknown.
     */
    readonly localSize: number;
    /** Number of gateways of the own data centre that are in contact, including this one. */
    readonly localMembers: number;
    /** Share of the slots that this gateway may issue, from 0 to 1; below 1 for some time after a loss of contact. */
    readonly slotShare: number;
}

/**
 * Share of a head's room that gateways of its data centre use without asking, all together. Requests within it are not
 * ordered by rank, so a larger share lets less urgent requests run while more urgent ones are refused.
 */
const quotaShare = 0.2;
/** Number of gateways that is assumed while their number is unknown. */
const assumedSize = 8;

/**
 * Requests on a head that a gateway of its data centre sends without asking: the quotas of all of them add up to at most
 * a fifth of the room, however old their views are. Gateways of other data centres have none: they seldom use the head, and
 * a share that is reserved for them would be lost to those that do.
 */
export function localQuota(room: number, localSize: number): number {
    return Math.floor(quotaShare * room / localSize);
}

/**
 * The equal part of a head's room that a gateway uses while no issuer answers.
 *
 * @param roundingDraw - From 0 to 1, drawn once for each gateway, so that parts below one request add up to the room on average.
 */
export function equalPart(room: number, localSize: number, roundingDraw: number): number {
    const size = Number.isFinite(localSize) ? localSize : assumedSize;
    return Math.floor(room / size + (room % size === 0 ? 0 : roundingDraw));
}
