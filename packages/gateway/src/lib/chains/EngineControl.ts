import { type LayerRange, type Target } from "../directory/Target.js";

/** What a target that holds layers says of itself. */
export interface EngineReport {
    /** When the target started, in milliseconds since 1970 by its own clock; undefined where it does not say. */
    readonly startedAt?: number;
    /** An order is being carried out. */
    readonly isBusy: boolean;
    /** Orders accepted since the target's start. */
    readonly orders: number;
    readonly layers: LayerRange | undefined;
    /** The share of its KV cache that is taken, from 0 to 1. */
    readonly cacheUse: number;
    /** Requests that wait for a slot. */
    readonly waiting: number;
    /** Over 1 when the target is slower than its accelerator should be. */
    readonly slowdown: number;
    /** Addresses of targets that requests which begin here are waiting for in vain. */
    readonly stalledBy: readonly string[];
}

/** An order to hold a range of layers, in place of the present one. */
export interface LayerOrder {
    readonly layers: LayerRange;
    /** Grows with each holder of the duty. */
    readonly fence: number;
    /** The target refuses the order if it has accepted any other meanwhile. */
    readonly expectedOrders: number;
}

/** How an order was received. */
export type OrderResult =
    | { readonly kind: "begun"; }
    /** The state that was ordered holds already. */
    | { readonly kind: "held"; }
    /** The order does not fit the target's state, or another one came first. */
    | { readonly kind: "unfit"; readonly reason: string; }
    | { readonly kind: "refused"; readonly reason: string; }
    /** No reply: the order may be carried out, also much later. */
    | { readonly kind: "unknown"; readonly reason: string; };

/** Reports of and orders to targets that hold layers. */
export interface EngineControl {
    /** @returns Undefined when the target gives no report within the timeout, in milliseconds. */
    fetchReport(target: Pick<Target, "host" | "port">, timeout: number): Promise<EngineReport | undefined>;
    /** @returns "unknown" when no reply comes within the timeout, in milliseconds: the order may still be carried out. */
    place(target: Pick<Target, "host" | "port">, order: LayerOrder, timeout: number): Promise<OrderResult>;
}
