import { type LiveHost, liveHostSchema } from "@waxwingspar/platform";
import { createHash } from "node:crypto";
import { z } from "zod";
import { canonicalJson } from "../revisions/digest.js";

const keptChanges = 64;
const digestCharacters = 16;

/**
 * The difference between two lists of hosts.
 *
 * @internal
 */
export const listChangeSchema = z.object({
    set: z.array(liveHostSchema),
    removed: z.array(z.string()),
});

export type ListChange = z.infer<typeof listChangeSchema>;

/** The digest of an empty list. @internal */
export const emptyListDigest = listDigest([]);

/**
 * Hands the live list on as differences. Lists are known by a digest of their content, so that any process can serve
 * any other, whoever read the list.
 *
 * @internal
 */
export class ListHistory {
    private hosts = new Map<string, LiveHost>();
    private readonly steps: { readonly from: string; readonly change: ListChange; }[] = [];
    private current = emptyListDigest;

    /** The digest of the newest list. */
    get digest(): string {
        return this.current;
    }

    /** The newest list. */
    list(): LiveHost[] {
        return [...this.hosts.values()];
    }

    /** Takes a newer list. Returns whether it differs. */
    update(list: readonly LiveHost[]): boolean {
        const digest = listDigest(list);
        if (digest === this.current) {
            return false;
        }
        const next = new Map(list.map(host => [host.process, host]));
        const set = list.filter(host => canonicalJson(this.hosts.get(host.process)) !== canonicalJson(host));
        const removed = [...this.hosts.keys()].filter(process => !next.has(process));
        this.steps.push({ from: this.current, change: { set, removed } });
        if (this.steps.length > keptChanges) {
            this.steps.shift();
        }
        this.hosts = next;
        this.current = digest;
        return true;
    }

    /** The change from an older list to the newest, or undefined when the older one is no longer known here. */
    since(digest: string): ListChange | undefined {
        if (digest === this.current) {
            return { set: [], removed: [] };
        }
        const start = this.steps.findLastIndex(step => step.from === digest);
        if (start < 0) {
            return undefined;
        }
        const set = new Map<string, LiveHost>();
        const removed = new Set<string>();
        for (const { change } of this.steps.slice(start)) {
            change.removed.forEach(process => {
                set.delete(process);
                removed.add(process);
            });
            change.set.forEach(host => {
                set.set(host.process, host);
                removed.delete(host.process);
            });
        }
        return { set: [...set.values()], removed: [...removed] };
    }

    /** The newest list after a change that was received. */
    changed(change: ListChange): LiveHost[] {
        const next = new Map(this.hosts);
        change.removed.forEach(process => next.delete(process));
        change.set.forEach(host => next.set(host.process, host));
        return [...next.values()];
    }
}

/** A digest of a list's content, whatever its order. @internal */
export function listDigest(list: readonly LiveHost[]): string {
    const sorted = [...list].sort((a, b) => a.process < b.process ? -1 : 1);
    return createHash("sha256").update(canonicalJson(sorted)).digest("hex").slice(0, digestCharacters);
}
