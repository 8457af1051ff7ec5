import { type Row, type TableStore } from "@waxwingspar/stores";
import { failure, type Outcome, platformCodes } from "@waxwingspar/utils";
import { Result } from "true-myth";
import { type Resource } from "../resources/Resource.js";
import { restoreEntries } from "../store/restoreEntries.js";
import { emptyDigest, replaceContent } from "./digest.js";
import { type Head, headSchema, type LogEntry, logEntrySchema, resourceKey, resourceSchema } from "./LogEntry.js";
import { headKey, type HeadRow, logKey, logPrefix, resourcePrefix, resourceRowKey } from "./logRows.js";
import { type Offer, RevisionState } from "./RevisionState.js";

const pageRows = 500;
const singleReads = 8;
const snapshotAttempts = 4;

/**
 * Reads revisions from the table store.
 *
 * @public
 */
export class StoreLog {
    /** The era of the store in which its log was last found to hold all that is in force here. */
    private wholeEra = 0;

    constructor(readonly store: TableStore) {}

    async head(): Promise<Outcome<HeadRow>> {
        const row = await this.store.get(headKey);
        return row.andThen(found => {
            if (found.version === 0) {
                return Result.ok<HeadRow, never>({
                    revision: 0,
                    digest: emptyDigest,
                    content: emptyDigest,
                    version: 0,
                });
            }
            const head = headSchema.safeParse(found.value);
            return head.success ? Result.ok({ ...head.data, version: found.version }) : unreadable(found);
        });
    }

    /** Reads entries after a revision, at most one page. Rows behind a missing one are left out by the state. */
    async entries(after: number): Promise<Outcome<LogEntry[]>> {
        const rows = await this.store.scan(logPrefix, logKey(after), pageRows);
        return rows.andThen(found => parseRows(found, value => logEntrySchema.safeParse(value)));
    }

    /**
     * Brings a state up to what the store holds, and the store up to the state where it came back from a copy.
     *
     * @returns What the last step brought; the state never moves back.
     */
    async advance(state: RevisionState): Promise<Outcome<Offer>> {
        const offer = await this.readOn(state);
        const { era } = this.store;
        if (offer.isErr || era === this.wholeEra) {
            return offer;
        }
        const restored = await restoreEntries(this, state);
        if (restored.isErr) {
            return Result.err(restored.error);
        }
        this.wholeEra = era;
        return offer;
    }

    private async readOn(state: RevisionState): Promise<Outcome<Offer>> {
        for (;;) {
            const entries = await this.entries(state.revision);
            if (entries.isErr) {
                return Result.err(entries.error);
            }
            const offer = state.apply(entries.value);
            if (offer === "gap" || offer === "diverged") {
                return this.advanceBySnapshot(state);
            }
            if (entries.value.length < pageRows) {
                return Result.ok(offer);
            }
        }
    }

    private async advanceBySnapshot(state: RevisionState): Promise<Outcome<Offer>> {
        for (let attempt = 0; attempt < snapshotAttempts; attempt++) {
            const copy = await this.readSnapshot();
            if (copy.isErr) {
                return Result.err(copy.error);
            }
            if (copy.value !== undefined) {
                return Result.ok(state.load(copy.value.snapshot()));
            }
        }
        return Result.err(failure(platformCodes.storeUnavailable, "the store's resources do not match its log"));
    }

    /**
     * Reads all resources while changes go on: the rows may be of different moments, so the entries since the start are
     * applied over them, and the result counts only if its sum is the one in the log.
     */
    private async readSnapshot(): Promise<Outcome<RevisionState | undefined>> {
        const head = await this.head();
        if (head.isErr) {
            return Result.err(head.error);
        }
        const resources = await this.readResources();
        if (resources.isErr) {
            return Result.err(resources.error);
        }
        const entries = await this.entries(head.value.revision);
        if (entries.isErr) {
            return Result.err(entries.error);
        }
        return Result.ok(mergeSnapshot(head.value, resources.value, entries.value));
    }

    /**
     * Reads the rows of resources: one by one when they are few, else all rows of their kinds, which costs a read for
     * each page instead of one for each row.
     *
     * @param keys - The resources, as `kind/name`.
     * @returns Rows by their keys; rows of other resources may be among them, and missing ones are left out.
     */
    async resourceRows(keys: readonly string[]): Promise<Outcome<Map<string, Row>>> {
        const few = keys.length <= singleReads;
        const prefixes = new Set(keys.map(key => resourceRowKey(key.slice(0, key.indexOf("/") + 1))));
        const reads = few
            ? keys.map(key => () => this.readRow(key))
            : [...prefixes].map(one => () => this.scanAll(one));
        const found = new Map<string, Row>();
        for (const read of reads) {
            const rows = await read();
            if (rows.isErr) {
                return Result.err(rows.error);
            }
            rows.value.forEach(row => found.set(row.key, row));
        }
        return Result.ok(found);
    }

    private async readRow(key: string): Promise<Outcome<Row[]>> {
        const row = await this.store.get(resourceRowKey(key));
        return row.map(found => [found]);
    }

    private async readResources(): Promise<Outcome<Resource[]>> {
        const rows = await this.scanAll(resourcePrefix);
        const parsed = rows.andThen(found => parseRows(found, value => resourceSchema.safeParse(value)));
        return parsed.map(resources => resources as Resource[]);
    }

    private async scanAll(prefix: string): Promise<Outcome<Row[]>> {
        const found: Row[] = [];
        for (let after = "";;) {
            const rows = await this.store.scan(prefix, after, pageRows);
            if (rows.isErr) {
                return rows;
            }
            found.push(...rows.value);
            const last = rows.value.at(-1);
            if (last === undefined || rows.value.length < pageRows) {
                return Result.ok(found);
            }
            after = last.key;
        }
    }
}

function mergeSnapshot(head: Head, resources: readonly Resource[], entries: readonly LogEntry[]) {
    const merged = new Map(resources.map(one => [resourceKey(one.kind, one.name), one]));
    const last = entries.at(-1) ?? head;
    for (const entry of entries) {
        for (const { kind, name, spec } of entry.changes) {
            const key = resourceKey(kind, name);
            if (spec === undefined) {
                merged.delete(key);
            }
            else {
                merged.set(key, { kind, name, spec: spec as Resource["spec"], resourceVersion: entry.revision });
            }
        }
    }
    const all = [...merged.values()];
    if (replaceContent(emptyDigest, [], all) !== last.content) {
        return undefined;
    }
    const state = new RevisionState();
    state.load({ revision: last.revision, digest: last.digest, content: last.content, resources: all });
    return state;
}

function parseRows<T>(
    rows: readonly Row[],
    parse: (value: unknown) => { success: true; data: T; } | { success: false; },
): Outcome<T[]> {
    const values: T[] = [];
    for (const row of rows) {
        const parsed = parse(row.value);
        if (!parsed.success) {
            return unreadable(row);
        }
        values.push(parsed.data);
    }
    return Result.ok(values);
}

function unreadable<T>(row: Row): Outcome<T> {
    return Result.err(failure(platformCodes.storeUnavailable, `row ${row.key} cannot be read`));
}
