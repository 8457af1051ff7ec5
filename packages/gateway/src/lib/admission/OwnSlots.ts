import { LRUCache } from "lru-cache";
import { equalPart, localQuota, type SlotGroup } from "./SlotGroup.js";
import { type HeadCount } from "./slotMessage.js";
import { type SlotHead, type SlotPool } from "./SlotPool.js";

/** Requests of this gateway on a head. */
export interface OwnHead {
    readonly id: string;
    readonly dataCentre: string;
    room: number;
    inFlight: number;
}

/** Options of {@link OwnSlots}. */
export interface OwnSlotsOptions {
    readonly group: Pick<SlotGroup, "dataCentre" | "localSize" | "groupSize">;
    /** From 0 to 1: see {@link equalPart}. */
    readonly roundingDraw: number;
}

/** Largest room, which stands for no bound: an infinite one cannot be written into a message. */
const maxRoom = 1_000_000;
/** Maximum number of heads whose counts are kept. */
const maxHeads = 2_000;

/** The requests that this gateway has in flight on each head, and its bounds without a grant. */
export class OwnSlots {
    private readonly heads = new LRUCache<string, OwnHead>({ max: maxHeads });

    constructor(private readonly options: OwnSlotsOptions) {}

    /** Records the rooms of a pool's heads, as this gateway knows them. */
    note({ dataCentre, heads }: SlotPool): void {
        for (const { id, room } of heads) {
            const head = this.heads.get(id) ?? { id, dataCentre, room, inFlight: 0 };
            head.room = Math.min(maxRoom, room);
            this.heads.set(id, head);
        }
    }

    inFlight(id: string): number {
        return this.heads.get(id)?.inFlight ?? 0;
    }

    /** The data centre of a head; undefined if it is not known. */
    dataCentre(id: string): string | undefined {
        return this.heads.get(id)?.dataCentre;
    }

    /**
     * Counts a request on a head.
     *
     * @returns A function that ends it. Further calls have no effect.
     */
    begin(id: string, onEnd: (head: OwnHead) => void): () => void {
        const head = this.heads.get(id) ?? { id, dataCentre: "", room: 0, inFlight: 0 };
        this.heads.set(id, head);
        head.inFlight++;
        let isOver = false;
        return () => {
            if (!isOver) {
                isOver = true;
                head.inFlight--;
                onEnd(head);
            }
        };
    }

    /** The number of requests up to which this gateway sends to a head without asking. */
    quota({ dataCentre, room }: Pick<OwnHead, "dataCentre" | "room">): number {
        const { group } = this.options;
        return dataCentre === group.dataCentre ? localQuota(room, group.localSize) : 0;
    }

    /** Whether a request may be sent without asking. */
    isWithinQuota({ dataCentre }: SlotPool, { id, room }: SlotHead): boolean {
        return this.inFlight(id) < this.quota({ dataCentre, room });
    }

    /** Whether a request may be sent while the issuer does not answer. */
    isWithinPart({ dataCentre }: SlotPool, { id, room }: SlotHead): boolean {
        const { group, roundingDraw } = this.options;
        const size = dataCentre === group.dataCentre ? group.localSize : group.groupSize;
        return this.inFlight(id) < equalPart(room, size, roundingDraw);
    }

    /** Heads with more requests than this gateway may send without asking. */
    get aboveQuota(): OwnHead[] {
        return [...this.heads.values()].filter(head => head.inFlight > this.quota(head));
    }

    /**
     * The counts of heads, the most used first, and of those of a pool in any case.
     *
     * @param maxCount - Maximum number of heads, if the pool has not more.
     */
    counts(isIncluded: (head: OwnHead) => boolean, pool: readonly SlotHead[], maxCount: number): HeadCount[] {
        const wanted = new Set(pool.map(({ id }) => id));
        const others = [...this.heads.values()]
            .filter(head => head.inFlight > 0 && !wanted.has(head.id) && isIncluded(head))
            .sort((a, b) => b.inFlight - a.inFlight)
            .slice(0, Math.max(0, maxCount - pool.length));
        return [...pool.flatMap(({ id }) => this.heads.get(id) ?? []), ...others].map(head => ({
            target: head.id,
            room: head.room,
            inFlight: head.inFlight,
            quota: this.quota(head),
        }));
    }
}
