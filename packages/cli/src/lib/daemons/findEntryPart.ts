import { type EntryPart } from "@waxwingspar/policy";

/**
 * Finds an entry's index among all entries, and their number. They determine its share of the limits that all entries
 * split. The entry counts itself even if the list lacks it.
 *
 * @param name - The entry's own name.
 * @param entries - The names of the known entries, in any order.
 * @internal
 */
export function findEntryPart(name: string, entries: readonly string[]): EntryPart {
    const all = [...new Set([...entries, name])].sort();
    return { index: all.indexOf(name), count: all.length };
}
