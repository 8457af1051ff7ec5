import { type Order } from "@waxwingspar/engine";
import { createHash } from "node:crypto";

/**
 * The properties that identify an order.
 *
 * @internal
 */
export interface OrderIdentity {
    readonly target: string;
    /** The incarnation of the agent that is to apply the order. */
    readonly incarnation: string;
    readonly action: Order["action"];
    /** Incremented after a definite failure, or when the effect has been undone. */
    readonly attempt: number;
}

const digestLength = 16;

/**
 * Computes the id of an order. It depends only on the action, the incarnation of the agent and the attempt. A repeat
 * after an unknown outcome, even by the next holder of the duty, is therefore the same order, and the agent applies it
 * once.
 *
 * @internal
 */
export function orderId({ target, incarnation, action, attempt }: OrderIdentity): string {
    const sorted = Object.entries(action).sort(([a], [b]) => a < b ? -1 : 1);
    const text = JSON.stringify([target, incarnation, sorted, attempt]);
    const digest = createHash("sha256").update(text).digest("hex").slice(0, digestLength);
    return `${action.kind}/${target}/${digest}`;
}
