import { type Order } from "@waxwingspar/engine";
import { createHash } from "node:crypto";

/**
 * Everything that makes an order the same as another.
 *
 * @internal
 */
export interface OrderIdentity {
    readonly target: string;
    /** The start of the agent that is to carry it out. */
    readonly incarnation: string;
    readonly action: Order["action"];
    /** Counts the tries after a definite failure, or after the effect was undone. */
    readonly attempt: number;
}

const digestLength = 16;

/**
 * The id of an order. It depends only on what is wanted of which start of an agent, and not on why, so a repeat after an unknown outcome, also by the next holder
 * of the duty, is the same order, and the agent carries it out once.
 *
 * @internal
 */
export function orderId({ target, incarnation, action, attempt }: OrderIdentity): string {
    const sorted = Object.entries(action).sort(([a], [b]) => a < b ? -1 : 1);
    const text = JSON.stringify([target, incarnation, sorted, attempt]);
    const digest = createHash("sha256").update(text).digest("hex").slice(0, digestLength);
    return `${action.kind}/${target}/${digest}`;
}
