import { randomUUID } from "node:crypto";

/**
 * Creates a globally unique identifier, for requests, incarnations and writes.
 *
 * @public
 */
export function uniqueId(): string {
    return randomUUID();
}
