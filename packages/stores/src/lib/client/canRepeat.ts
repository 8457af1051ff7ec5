import { type Transaction } from "../TableStore.js";

/**
 * Whether two copies of a transaction can never both take effect: it writes a row on whose version, above 0, it has a
 * condition. The first copy to take effect changes that version for good. A condition that a row must not exist gives
 * no such safety, since somebody may delete the row before the other copy arrives.
 *
 * @public
 */
export function canRepeat(transaction: Transaction): boolean {
    const written = new Set(transaction.writes.map(({ key }) => key));
    return transaction.conditions.some(({ key, version }) => version > 0 && written.has(key));
}
