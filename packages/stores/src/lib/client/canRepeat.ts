import { type Transaction } from "../TableStore.js";

/**
 * Returns whether at most one of two copies of a transaction can take effect: it writes a row and has a condition on
 * that row's version, which must be above 0. The first copy to take effect changes that version permanently. A
 * condition that a row must not exist does not guarantee this, since the row may be deleted before the other copy
 * arrives.
 *
 * @public
 */
export function canRepeat(transaction: Transaction): boolean {
    const written = new Set(transaction.writes.map(({ key }) => key));
    return transaction.conditions.some(({ key, version }) => version > 0 && written.has(key));
}
