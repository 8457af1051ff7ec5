import { type Configuration } from "../Configuration.js";
import { type Kind, type Resource, type Specs } from "../resources/Resource.js";
import { chainDigest, emptyDigest, replaceContent } from "./digest.js";
import { type Change, type LogEntry, resourceKey, type Snapshot } from "./LogEntry.js";

const defaultRetained = 1024;

/**
 * The result of applying entries or loading a snapshot: `applied` if the state moved to a higher revision, `current` if
 * nothing was new, `gap` if the next revision is missing, and `diverged` if the data does not continue the digest chain
 * of this process or does not match its content sum.
 *
 * @public
 */
export type ApplyResult = "applied" | "current" | "gap" | "diverged";

/**
 * Options of {@link RevisionState}.
 *
 * @public
 */
export interface RevisionStateOptions {
    /** How many recent entries are retained for other processes that request them. */
    readonly retained?: number;
    /** Runs after each change to a higher revision, before the change handlers. */
    readonly onApplied?: (revision: number, digest: string) => void;
}

/**
 * The configuration in force in one process, as a state without I/O. It applies and verifies revisions in order,
 * regardless of where they come from, and never returns to an earlier one.
 *
 * @public
 */
export class RevisionState implements Configuration {
    private readonly retained: number;
    private readonly onApplied: (revision: number, digest: string) => void;
    private resources = new Map<string, Resource>();
    private byKind = new Map<Kind, Resource[]>();
    private entries: LogEntry[] = [];
    /** The digest of the revision before the first retained entry. */
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

    /** The digest of the chain up to the revision in force. */
    get digest(): string {
        return this.currentDigest;
    }

    /** The order-independent content sum over the resources in force. */
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

    /** Returns all resources as a snapshot that another process can load. */
    snapshot(): Snapshot {
        return {
            revision: this.current,
            digest: this.currentDigest,
            content: this.currentContent,
            resources: [...this.resources.values()],
        };
    }

    /**
     * Returns the entries after a revision.
     *
     * @param digest - A prefix of the requester's digest at that revision; empty to skip the comparison.
     * @returns Undefined if the entries are no longer retained or the requester's digest differs; the requester then
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

    /** Returns the digest of the revision in force or of one whose entry is retained. */
    digestAt(revision: number): string | undefined {
        if (revision === this.current) {
            return this.currentDigest;
        }
        if (revision === this.oldest) {
            return this.oldestDigest;
        }
        return this.entries[revision - this.oldest - 1]?.digest;
    }

    /** Applies entries in order. Entries already in force are skipped, so callers may pass overlapping ranges. */
    apply(entries: readonly LogEntry[]): ApplyResult {
        const start = this.current;
        let result: ApplyResult = "current";
        for (const entry of entries) {
            result = this.applyEntry(entry);
            if (result === "gap" || result === "diverged") {
                break;
            }
        }
        if (this.current === start) {
            return result;
        }
        this.notifyHandlers();
        return result === "gap" || result === "diverged" ? result : "applied";
    }

    /** Replaces all resources if the snapshot has a higher revision and matches its content sum. */
    load(snapshot: Snapshot): ApplyResult {
        if (snapshot.revision <= this.current) {
            return "current";
        }
        if (replaceContent(emptyDigest, [], snapshot.resources) !== snapshot.content) {
            return "diverged";
        }
        this.resources = new Map(snapshot.resources.map(one => [resourceKey(one.kind, one.name), one]));
        this.entries = [];
        this.oldestDigest = snapshot.digest;
        this.moveTo(snapshot.revision, snapshot.digest, snapshot.content);
        this.notifyHandlers();
        return "applied";
    }

    private applyEntry(entry: LogEntry): ApplyResult {
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
        this.moveTo(entry.revision, digest, content);
        return "applied";
    }

    private keepEntry(entry: LogEntry): void {
        this.entries.push(entry);
        if (this.entries.length > this.retained) {
            this.oldestDigest = this.entries.shift()?.digest ?? emptyDigest;
        }
    }

    private moveTo(revision: number, digest: string, content: string): void {
        this.current = revision;
        this.currentDigest = digest;
        this.currentContent = content;
        this.byKind.clear();
    }

    private notifyHandlers(): void {
        this.onApplied(this.current, this.currentDigest);
        for (const handler of [...this.handlers]) {
            handler(this.current);
        }
    }
}

/**
 * Builds the log entry that follows a state.
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
