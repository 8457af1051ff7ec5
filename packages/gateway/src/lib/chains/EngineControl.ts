import { type LayerRange, type Target } from "../directory/Target.js";

/** Status report of a target that holds layers. */
export interface EngineReport {
    /** When the target started, in milliseconds since 1970 by its own clock; undefined if it does not report this. */
    readonly startedAt?: number;
    /** Whether the target is carrying out an order. */
    readonly isBusy: boolean;
    /** Number of orders accepted since the target started. */
    readonly orders: number;
    readonly layers: LayerRange | undefined;
    /** Share of its KV cache in use, from 0 to 1. */
    readonly cacheUse: number;
    /** Number of requests queued for a slot. */
    readonly waiting: number;
    /** Ratio of the target's step time to the expected time of its accelerator; over 1 when the target is slow. */
    readonly slowdown: number;
    /** Addresses of targets that block requests of chains which begin at this target. */
    readonly stalledBy: readonly string[];
    /** Whether the target says that it is leaving. */
    readonly isLeaving?: boolean;
}

/** An order to a target to replace its layers by another range. */
export interface LayerOrder {
    readonly layers: LayerRange;
    /** Fencing token: the term of the placement lease, which increases with each holder. */
    readonly fence: number;
    /** Number of orders accepted by the target so far; it refuses the order if its own count differs. */
    readonly expectedOrders: number;
}

/** Result of an order to a target, and whether the target says that it is leaving. */
export type OrderResult = { readonly isLeaving?: boolean; } & OrderOutcome;

/** What became of an order. */
type OrderOutcome =
    /** The target accepted the order and carries it out. */
    | { readonly kind: "begun"; }
    /** The target already holds the ordered layers. */
    | { readonly kind: "held"; }
    /** The order does not fit the target's state, or the target accepted another order first. */
    | { readonly kind: "unfit"; readonly reason: string; }
    | { readonly kind: "refused"; readonly reason: string; }
    /** No reply: the order may still be carried out, even much later. */
    | { readonly kind: "unknown"; readonly reason: string; };

/** Fetches reports from targets that hold layers, and sends them orders. */
export interface EngineControl {
    /** @returns Undefined when the target gives no report within the timeout, in milliseconds. */
    fetchReport(target: Target, timeout: number): Promise<EngineReport | undefined>;
    /**
     * @returns "unknown" when no reply arrives within the timeout, in milliseconds: the order may still be carried out.
     */
    place(target: Target, order: LayerOrder, timeout: number): Promise<OrderResult>;
}
