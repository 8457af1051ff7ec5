import { type LiveHost, liveHostSchema } from "@waxwingspar/stores";
import { createHash } from "node:crypto";
import { z } from "zod";

/** The number of recent changes from which a difference to an older list can be built. */
const maxChanges = 64;
const digestBits = 64n;
const digestCharacters = 16;
const digestMask = (1n << digestBits) - 1n;

/**
 * The difference between two lists of hosts.
 *
 * @internal
 */
export const listChangeSchema = z.object({
    set: z.array(liveHostSchema),
    removed: z.array(z.string()),
});

/** @internal */
export type ListChange = z.infer<typeof listChangeSchema>;

/** The digest of an empty list. @internal */
export const emptyListDigest = "0".repeat(digestCharacters);

interface ListedHost {
    readonly host: LiveHost;
    readonly text: string;
}

/**
 * Keeps the newest live list and its recent changes, so that the list can be sent as differences. Lists are identified
 * by a digest of their content, so that any process can serve any other, regardless of which process read the list.
 *
 * @internal
 */
export class ListHistory {
    private hosts = new Map<string, ListedHost>();
    private readonly steps: { readonly from: string; readonly change: ListChange; }[] = [];
    private sum = 0n;
    private current = emptyListDigest;

    /** The digest of the newest list. */
    get digest(): string {
        return this.current;
    }

    /** The newest list. */
    list(): LiveHost[] {
        return [...this.hosts.values()].map(({ host }) => host);
    }

    /** Replaces the list and returns whether it changed. Only changed hosts are hashed, because lists are long. */
    update(list: readonly LiveHost[]): boolean {
        const next = new Map(list.map(host => [host.process, { host, text: textOf(host) }]));
        const removed = [...this.hosts.keys()].filter(process => !next.has(process));
        const set = [...next.values()].filter(({ host, text }) => this.hosts.get(host.process)?.text !== text);
        if (removed.length === 0 && set.length === 0) {
            return false;
        }
        [...removed, ...set.map(({ host }) => host.process)].forEach(process => this.subtract(process));
        set.forEach(({ text }) => this.sum += hashOf(text));
        this.recordChange({ set: set.map(({ host }) => host), removed });
        this.hosts = next;
        this.current = (this.sum & digestMask).toString(16).padStart(digestCharacters, "0");
        return true;
    }

    private recordChange(change: ListChange): void {
        this.steps.push({ from: this.current, change });
        if (this.steps.length > maxChanges) {
            this.steps.shift();
        }
    }

    private subtract(process: string): void {
        const known = this.hosts.get(process);
        if (known !== undefined) {
            this.sum -= hashOf(known.text);
        }
    }

    /** Returns the change from an older list to the newest, or undefined if the older one is not in the history. */
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

    /** Returns the newest list with a received change applied. Does not modify the history. */
    changed(change: ListChange): LiveHost[] {
        const next = new Map(this.list().map(host => [host.process, host]));
        change.removed.forEach(process => next.delete(process));
        change.set.forEach(host => next.set(host.process, host));
        return [...next.values()];
    }
}

function textOf({ process, role, host, port, dataCentre, region, state }: LiveHost): string {
    return [process, role, host, port, dataCentre, region, state].join(" ");
}

function hashOf(text: string): bigint {
    return createHash("sha256").update(text).digest().readBigUInt64BE(0);
}
