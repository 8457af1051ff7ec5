import { type Clock } from "@waxwingspar/utils";
import { type PoolRequest } from "../admission/SlotGrants.js";
import { type HeldSlot, type SlotOutcome, type SlotPool } from "../admission/SlotPool.js";
import { type RequestContext } from "../requests/RequestContext.js";

/** What {@link SimulatedSlots} answer to a request. */
export type SimulatedDecision =
    /** The best head, after a time in milliseconds. */
    | { readonly kind: "granted"; readonly after: number; }
    | { readonly kind: "refused"; readonly after: number; readonly retryAfter: number; };

/** Options of {@link SimulatedSlots}. */
export interface SimulatedSlotsOptions {
    readonly clock: Clock;
    readonly decide: (pool: SlotPool, request: PoolRequest) => SimulatedDecision;
    /** Whether a slot may be taken without asking; never by default. */
    readonly isFree?: (pool: SlotPool) => boolean;
    /** Milliseconds until a pool that refused may grant; 0 by default. */
    readonly fullFor?: (pool: SlotPool) => number;
}

/** Grants slots as a test decides, and counts those that are held. */
export class SimulatedSlots {
    /** What was asked for, in order. */
    readonly asked: { readonly dataCentre: string; readonly request: PoolRequest; }[] = [];
    granted = 0;
    /** Number of calls to release a slot that was released before. */
    repeatedReleases = 0;
    private readonly heldByHead = new Map<string, number>();

    constructor(private readonly options: SimulatedSlotsOptions) {}

    /** Number of slots of a head that are held. */
    held(head: string): number {
        return this.heldByHead.get(head) ?? 0;
    }

    /** Number of slots of all heads that are held. */
    get heldAll(): number {
        return [...this.heldByHead.values()].reduce((sum, held) => sum + held, 0);
    }

    /** The slots as runs use them. */
    get source(): RequestContext["slots"] {
        const { isFree = () => false, fullFor = () => 0 } = this.options;
        return {
            tryLocal: pool => isFree(pool) ? this.grant(pool, 0) : undefined,
            acquire: (pool, request) => this.acquire(pool, request),
            fullFor,
            expectedWait: () => 0,
        };
    }

    private acquire(pool: SlotPool, request: PoolRequest): Promise<SlotOutcome> {
        const { clock, decide } = this.options;
        this.asked.push({ dataCentre: pool.dataCentre, request });
        const decision = decide(pool, request);
        const { after: held } = decision;
        return new Promise(resolve => {
            clock.schedule(() => {
                resolve(
                    decision.kind === "granted"
                        ? this.grant(pool, held)
                        : { kind: "refused", reason: "full", retryAfter: decision.retryAfter, held },
                );
            }, held);
        });
    }

    private grant({ heads }: SlotPool, held: number): HeldSlot {
        const head = heads[0]?.id ?? "";
        this.granted++;
        this.heldByHead.set(head, this.held(head) + 1);
        let isHeld = true;
        const release = () => {
            if (!isHeld) {
                this.repeatedReleases++;
                return;
            }
            isHeld = false;
            this.heldByHead.set(head, this.held(head) - 1);
        };
        return { kind: "granted", head, held, release };
    }
}
