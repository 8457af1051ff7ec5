import { type Configuration } from "../Configuration.js";
import { type Kind, type Resource, type Specs } from "../resources/Resource.js";
import { chainDigest, emptyDigest, replaceContent } from "./digest.js";
import { type Change, type LogEntry, resourceKey, type Snapshot } from "./LogEntry.js";

const defaultRetained = 1024;

/**
 * What became of entries or a snapshot that were offered:
 * `applied` moved to a higher revision, `current` brought nothing new, `gap` lacks the next revision, and `diverged`
 * does not continue the digest chain of this process or fails its own sums.
 *
 * @public
 */
export type Offer = "applied" | "current" | "gap" | "diverged";

/**
 * Options of {@link RevisionState}.
 *
 * @public
 */
export interface RevisionStateOptions {
    /** How many recent entries are kept to answer others. */
    readonly retained?: number;
    /** Runs after each move, before the change handlers. */
    readonly onApplied?: (revision: number, digest: string) => void;
}

/**
 * The configuration in force in one process, as a pure state: it takes the next revisions in order from whoever brings
 * them, checks them, and never moves back.
 *
 * @public
 */
export class RevisionState implements Configuration {
    private readonly retained: number;
    private readonly onApplied: (revision: number, digest: string) => void;
    private resources = new Map<string, Resource>();
    private byKind = new Map<Kind, Resource[]>();
    private entries: LogEntry[] = [];
    /** The digest of the revision before the first entry that is kept. */
    private oldestDigest = emptyDigest;
    private readonly handlers = new Set<(revision: number) => void>();
    private current = 0;
    private currentDigest = emptyDigest;
    private currentContent = emptyDigest;

    constructor({ retained = defaultRetained, onApplied = () => undefined }: RevisionStateOptions = {}) {
        this.retained = retained;
        this.onApplied = onApplied;
    }

    get revision(): number {
        return this.current;
    }

    /** The digest chain up to the revision in force. */
    get digest(): string {
        return this.currentDigest;
    }

    /** The order-free sum over the resources in force. */
    get content(): string {
        return this.currentContent;
    }

    /** The first revision after which {@link RevisionState.since} can answer with entries. */
    get oldest(): number {
        return (this.entries[0]?.revision ?? this.current + 1) - 1;
    }

    get<K extends Kind>(kind: K, name: string): Resource<K> | undefined {
        return this.resources.get(resourceKey(kind, name)) as Resource<K> | undefined;
    }

    list<K extends Kind>(kind: K): readonly Resource<K>[] {
        let found = this.byKind.get(kind);
        if (found === undefined) {
            found = [...this.resources.values()].filter(resource => resource.kind === kind);
            this.byKind.set(kind, found);
        }
        return found as Resource<K>[];
    }

    onChange(handler: (revision: number) => void): () => void {
        this.handlers.add(handler);
        return () => void this.handlers.delete(handler);
    }

    /** Every resource, as a snapshot that another process can load. */
    snapshot(): Snapshot {
        return {
            revision: this.current,
            digest: this.currentDigest,
            content: this.currentContent,
            resources: [...this.resources.values()],
        };
    }

    /**
     * The entries after a revision.
     *
     * @param digest - The beginning of the asker's digest at that revision, where it should be compared.
     * @returns Undefined when the log no longer reaches back so far, or when the asker's digest differs; the asker then
     * needs a snapshot.
     */
    since(revision: number, digest = ""): readonly LogEntry[] | undefined {
        if (revision > this.current) {
            return [];
        }
        if (revision < this.oldest || this.digestAt(revision)?.startsWith(digest) !== true) {
            return undefined;
        }
        return this.entries.slice(revision - this.oldest);
    }

    /** The digest of a revision that is in force or still in the log. */
    digestAt(revision: number): string | undefined {
        if (revision === this.current) {
            return this.currentDigest;
        }
        if (revision === this.oldest) {
            return this.oldestDigest;
        }
        return this.entries[revision - this.oldest - 1]?.digest;
    }

    /** Applies those of the entries that come next. Older ones are skipped, so that anyone may bring anything. */
    apply(entries: readonly LogEntry[]): Offer {
        const start = this.current;
        let result: Offer = "current";
        for (const entry of entries) {
            result = this.applyEntry(entry);
            if (result === "gap" || result === "diverged") {
                break;
            }
        }
        if (this.current === start) {
            return result;
        }
        this.announce();
        return result === "gap" || result === "diverged" ? result : "applied";
    }

    /** Replaces all resources, if the snapshot is of a higher revision and its sum is right. */
    load(snapshot: Snapshot): Offer {
        if (snapshot.revision <= this.current) {
            return "current";
        }
        if (replaceContent(emptyDigest, [], snapshot.resources) !== snapshot.content) {
            return "diverged";
        }
        this.resources = new Map(snapshot.resources.map(one => [resourceKey(one.kind, one.name), one]));
        this.entries = [];
        this.oldestDigest = snapshot.digest;
        this.move(snapshot.revision, snapshot.digest, snapshot.content);
        this.announce();
        return "applied";
    }

    private applyEntry(entry: LogEntry): Offer {
        if (entry.revision <= this.current) {
            return "current";
        }
        if (entry.revision !== this.current + 1) {
            return "gap";
        }
        const added = setResources(entry);
        const removed = entry.changes.map(change => this.resources.get(resourceKey(change.kind, change.name)));
        const content = replaceContent(this.currentContent, removed.filter(one => one !== undefined), added);
        const digest = chainDigest(this.currentDigest, entry.revision, entry.changes, content);
        if (content !== entry.content || digest !== entry.digest) {
            return "diverged";
        }
        entry.changes.forEach(change => this.resources.delete(resourceKey(change.kind, change.name)));
        added.forEach(one => this.resources.set(resourceKey(one.kind, one.name), one));
        this.keepEntry(entry);
        this.move(entry.revision, digest, content);
        return "applied";
    }

    private keepEntry(entry: LogEntry): void {
        this.entries.push(entry);
        if (this.entries.length > this.retained) {
            this.oldestDigest = this.entries.shift()?.digest ?? emptyDigest;
        }
    }

    private move(revision: number, digest: string, content: string): void {
        this.current = revision;
        this.currentDigest = digest;
        this.currentContent = content;
        this.byKind.clear();
    }

    private announce(): void {
        this.onApplied(this.current, this.currentDigest);
        for (const handler of [...this.handlers]) {
            handler(this.current);
        }
    }
}

/**
 * Builds the entry that follows a state.
 *
 * @public
 */
export function nextEntry(
    state: RevisionState,
    changes: readonly Change[],
    ids: Pick<LogEntry, "writeId" | "changeId">,
): LogEntry {
    const revision = state.revision + 1;
    const draft = { ...ids, revision, changes: [...changes], content: "", digest: "" };
    const removed = changes.map(change => state.get(change.kind, change.name)).filter(one => one !== undefined);
    const content = replaceContent(state.content, removed, setResources(draft));
    return { ...draft, content, digest: chainDigest(state.digest, revision, draft.changes, content) };
}

/** The resources that an entry sets. Specs were validated when the entry was accepted. */
function setResources(entry: LogEntry): Resource[] {
    return entry.changes.filter(change => change.spec !== undefined).map(change => ({
        kind: change.kind,
        name: change.name,
        spec: change.spec as Specs[Kind],
        resourceVersion: entry.revision,
    }));
}
