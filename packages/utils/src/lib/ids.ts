import { randomUUID } from "node:crypto";

/**
 * Creates an identifier that no other process creates: for requests, incarnations and write ids.
 *
 * @public
 */
export function uniqueId(): string {
    return randomUUID();
}
