import { type EntryPart } from "@waxwingspar/policy";

/**
 * The part of one entry in what all share. It counts itself in also while it is not among those that are seen.
 *
 * @param name - The entry's own name.
 * @param entries - The names of the entries that are seen, in any order.
 * @internal
 */
export function entryPartOf(name: string, entries: readonly string[]): EntryPart {
    const all = [...new Set([...entries, name])].sort();
    return { index: all.indexOf(name), count: all.length };
}
