import { type ReplyMessage } from "./Exchange.js";

/**
 * Whether a reply has a length or chunks, so that its end is known to be complete. Any other reply ends with its
 * connection, which its target closes as well when it fails.
 */
export function isDelimited({ headers }: Pick<ReplyMessage, "headers">): boolean {
    return headers["content-length"] !== undefined || headers["transfer-encoding"] !== undefined;
}
