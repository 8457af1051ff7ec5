import { type Clock } from "@waxwingspar/utils";
import { LRUCache } from "lru-cache";
import { RecentMaximum } from "./RecentMaximum.js";
import { localQuota, type SlotGroup } from "./SlotGroup.js";
import { type HeadCount, type SlotCounts } from "./slotMessage.js";

/** Options of {@link SlotCounter}. */
export interface SlotCounterOptions {
    readonly clock: Clock;
    readonly group: Pick<SlotGroup, "dataCentre" | "localSize" | "localMembers" | "slotShare">;
    /** Requests of this gateway in flight on a head. */
    readonly ownInFlight: (head: string) => number;
    /**
     * Requests of all other gateways on chains that begin at a target, by its id, as heartbeats told them up to 0.9 s
     * ago.
     */
    readonly chainLoad: (targetId: string) => number;
    /** Called when slots of a head were freed. */
    readonly onFreed: (head: string, count: number) => void;
}

/** The last counts of a gateway and what was granted to it since. */
interface CountedGateway {
    readonly counts: SlotCounts;
    readonly receivedAt: number;
    /** Heads of grants that its counts do not include yet, by the number of the call. */
    readonly grants: Map<number, string>;
}

interface CountedHead {
    dataCentre: string;
    /** Sum over the gateways of their quotas, or of their requests in flight if these are more. */
    reported: number;
    /** Number of gateways of the own data centre that are part of {@link reported}. */
    listed: number;
    /** Grants that are not part of {@link reported}. */
    granted: number;
    /** Negative rooms: the smallest recent room is in force. */
    readonly rooms: RecentMaximum;
    ownRoom: { readonly room: number; readonly at: number; } | undefined;
    /** Recent sums, to which heartbeats are compared. */
    readonly sums: RecentMaximum;
}

/** Milliseconds without a message after which a gateway's slots count as free. */
const gatewayTimeout = 1_500;
/** Milliseconds for which the smallest room that a gateway reported is in force. */
const roomRetention = 1_500;
/** A room reported by others is in force down to this share of the room that this gateway knows. */
const minRoomShare = 0.5;
/** Milliseconds for which the room that this gateway knew at its last request is in force. */
const maxRoomAge = 5_000;
/** Milliseconds by which heartbeats may be late. */
const heartbeatLag = 1_000;
/** Maximum number of heads whose counts are kept. */
const maxHeads = 2_000;

/**
 * Counts the requests of all gateways on each head, as the issuer of its slots knows them; never less than there are,
 * as far as gateways ask for slots. A gateway that has not reported may use its quota, and a grant counts until the
 * gateway's counts include it. Gateways that send without asking are known by heartbeats only.
 */
export class SlotCounter {
    /** By incarnation, in the order of their last messages. */
    private readonly gateways = new Map<string, CountedGateway>();
    private readonly heads = new LRUCache<string, CountedHead>({ max: maxHeads });

    constructor(private readonly options: SlotCounterOptions) {}

    /** Records a gateway's counts. @returns False if they are older than the known ones. */
    receive(counts: SlotCounts): boolean {
        const { incarnation, sequence, home } = counts;
        this.expire();
        const known = this.gateways.get(incarnation);
        if (known !== undefined && sequence <= known.counts.sequence) {
            return false;
        }
        const grants = known?.grants ?? new Map<number, string>();
        const before = new Map(known?.counts.heads.map(count => [count.target, usedBy(count)]));
        this.removeCounts(known?.counts);
        for (const [number, head] of grants) {
            if (isOver(counts, number)) {
                grants.delete(number);
                this.head(head).granted--;
                before.set(head, (before.get(head) ?? 0) + 1);
            }
        }
        for (const count of counts.heads) {
            const head = this.head(count.target);
            head.reported += usedBy(count);
            head.listed += home === this.options.group.dataCentre ? 1 : 0;
            head.rooms.record(-count.room);
            before.set(count.target, (before.get(count.target) ?? 0) - usedBy(count));
        }
        // Removed first: the map keeps the order of the last messages.
        this.gateways.delete(incarnation);
        this.gateways.set(incarnation, { counts, receivedAt: this.options.clock.now(), grants });
        before.forEach((freed, head) => this.noteChange(head, freed));
        return true;
    }

    /** Whether a gateway has told that it waits for a call's decision no more. */
    isOver(incarnation: string, number: number): boolean {
        const known = this.gateways.get(incarnation);
        return known !== undefined && isOver(known.counts, number);
    }

    /** Records a slot that was granted to another gateway. */
    addGrant(incarnation: string, number: number, head: string): void {
        const gateway = this.gateways.get(incarnation);
        if (gateway !== undefined && !gateway.grants.has(number)) {
            gateway.grants.set(number, head);
            this.head(head).granted++;
            this.recordSum(head);
        }
    }

    /** Records the room of a head that this gateway knows. */
    noteOwnRoom(head: string, dataCentre: string, room: number): void {
        const counted = this.head(head);
        counted.dataCentre = dataCentre;
        counted.ownRoom = { room, at: this.options.clock.now() };
    }

    /** Records the data centre of a head that another gateway asks for. */
    noteDataCentre(head: string, dataCentre: string): void {
        this.head(head).dataCentre = dataCentre;
    }

    /** Requests of all gateways on a head, those that may have been sent without asking included. */
    load(head: string): number {
        this.expire();
        const { chainLoad, ownInFlight } = this.options;
        const sum = this.recordSum(head);
        const unreported = Math.max(0, chainLoad(targetOf(head)) - (this.head(head).sums.value ?? 0));
        return ownInFlight(head) + sum + unreported;
    }

    /** Requests that a head has room for: what this gateway knows, or less if another one has reported less. */
    room(head: string): number {
        const { ownRoom, rooms } = this.head(head);
        const reported = -(rooms.value ?? -Infinity);
        const isKnown = ownRoom !== undefined && ownRoom.at >= this.options.clock.now() - maxRoomAge;
        const room = isKnown ? Math.min(ownRoom.room, Math.max(reported, minRoomShare * ownRoom.room)) : reported;
        return Number.isFinite(room) ? room : 0;
    }

    /**
     * Slots of a head that may be granted; negative if more are in use.
     *
     * @param excess - Factor of the room.
     */
    freeSlots(head: string, excess = 1): number {
        const room = this.room(head);
        // A gateway without contact is left one slot, so that it may serve somebody.
        const issued = Math.max(Math.min(1, room), Math.floor(excess * room * this.options.group.slotShare));
        return Math.floor(issued - this.load(head));
    }

    /** Removes gateways that have been silent. */
    private expire(): void {
        const bound = this.options.clock.now() - gatewayTimeout;
        for (const [incarnation, { counts, receivedAt, grants }] of this.gateways) {
            if (receivedAt >= bound) {
                return;
            }
            this.gateways.delete(incarnation);
            this.removeCounts(counts);
            grants.forEach(head => this.head(head).granted--);
            counts.heads.forEach(count => this.noteChange(count.target, usedBy(count)));
        }
    }

    private removeCounts(counts: SlotCounts | undefined): void {
        for (const count of counts?.heads ?? []) {
            const head = this.head(count.target);
            head.reported -= usedBy(count);
            head.listed -= counts?.home === this.options.group.dataCentre ? 1 : 0;
        }
    }

    private noteChange(head: string, freed: number): void {
        this.recordSum(head);
        if (freed > 0) {
            this.options.onFreed(head, freed);
        }
    }

    private recordSum(head: string): number {
        const { group } = this.options;
        const counted = this.head(head);
        const { dataCentre, reported, listed, granted, sums } = counted;
        const silent = dataCentre === group.dataCentre ? Math.max(0, group.localMembers - 1 - listed) : 0;
        const sum = reported + granted + (silent === 0 ? 0 : silent * localQuota(this.room(head), group.localSize));
        sums.record(sum);
        return sum;
    }

    private head(id: string): CountedHead {
        const { clock } = this.options;
        const head = this.heads.get(id) ?? {
            dataCentre: "",
            reported: 0,
            listed: 0,
            granted: 0,
            rooms: new RecentMaximum(clock, roomRetention),
            ownRoom: undefined,
            sums: new RecentMaximum(clock, heartbeatLag),
        };
        this.heads.set(id, head);
        return head;
    }
}

function usedBy({ quota, inFlight }: HeadCount): number {
    return Math.max(quota, inFlight);
}

/** Whether the sender of counts did not wait for a call's decision any more when it sent them. */
function isOver({ next, pending }: SlotCounts, number: number): boolean {
    return number < next && !pending.includes(number);
}

/** The id of a target, given its incarnation. */
function targetOf(incarnation: string): string {
    const end = incarnation.lastIndexOf("@");
    return end === -1 ? incarnation : incarnation.slice(0, end);
}
