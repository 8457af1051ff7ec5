import { type Row, type TableStore } from "@waxwingspar/stores";
import { failure, type Outcome, platformCodes } from "@waxwingspar/utils";
import { Result } from "true-myth";
import { type Resource } from "../resources/Resource.js";
import { restoreEntries } from "../store/restoreEntries.js";
import { emptyDigest, replaceContent } from "./digest.js";
import { type Head, headSchema, type LogEntry, logEntrySchema, resourceKey, resourceSchema } from "./LogEntry.js";
import { headKey, type HeadRow, logKey, logPrefix, resourcePrefix, resourceRowKey } from "./logRows.js";
import { type ApplyResult, RevisionState } from "./RevisionState.js";

const rowsPerPage = 500;
/** The maximum number of rows that are read individually instead of by scanning. */
const maxSingleReads = 8;
const snapshotAttempts = 4;

/**
 * Reads revisions from the table store, and restores revisions that the store lost.
 *
 * @public
 */
export class StoreLog {
    /** The store era in which the log was last verified to hold all revisions in force in this process. */
    private verifiedEra = 0;

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

    /** Reads up to one page of entries after a revision. If a row is missing, the state ignores those behind it. */
    async entries(after: number): Promise<Outcome<LogEntry[]>> {
        const rows = await this.store.scan(logPrefix, logKey(after), rowsPerPage);
        return rows.andThen(found => parseRows(found, value => logEntrySchema.safeParse(value)));
    }

    /**
     * Updates a state to the newest revision in the store. If the store was restored from an older copy, also writes
     * the entries that it lost back from the state.
     *
     * @returns The result of the last update of the state.
     */
    async advance(state: RevisionState): Promise<Outcome<ApplyResult>> {
        const result = await this.applyNewEntries(state);
        const { era } = this.store;
        if (result.isErr || era === this.verifiedEra) {
            return result;
        }
        const restored = await restoreEntries(this, state);
        if (restored.isErr) {
            return Result.err(restored.error);
        }
        this.verifiedEra = era;
        return result;
    }

    private async applyNewEntries(state: RevisionState): Promise<Outcome<ApplyResult>> {
        for (;;) {
            const entries = await this.entries(state.revision);
            if (entries.isErr) {
                return Result.err(entries.error);
            }
            const result = state.apply(entries.value);
            if (result === "gap" || result === "diverged") {
                return this.advanceBySnapshot(state);
            }
            if (entries.value.length < rowsPerPage) {
                return Result.ok(result);
            }
        }
    }

    private async advanceBySnapshot(state: RevisionState): Promise<Outcome<ApplyResult>> {
        for (let attempt = 0; attempt < snapshotAttempts; attempt++) {
            const copy = await this.readSnapshot();
            if (copy.isErr) {
                return Result.err(copy.error);
            }
            if (copy.value !== undefined) {
                return Result.ok(state.load(copy.value.snapshot()));
            }
        }
        return Result.err(
            failure(
                platformCodes.storeUnavailable,
                "the resources in the store do not match the content sum of its log",
            ),
        );
    }

    /**
     * Reads all resources while changes may be in progress. The rows may come from different revisions, so the entries
     * since the start are applied over them. The result is undefined unless it matches the content sum in the log.
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
     * Reads the rows of resources: individually if they are few, otherwise all rows of their kinds, which needs one
     * read per page instead of one per row.
     *
     * @param keys - The resources, as `kind/name`.
     * @returns Rows by key. Missing rows are omitted, and rows of other resources may be included.
     */
    async resourceRows(keys: readonly string[]): Promise<Outcome<Map<string, Row>>> {
        const few = keys.length <= maxSingleReads;
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
            const rows = await this.store.scan(prefix, after, rowsPerPage);
            if (rows.isErr) {
                return rows;
            }
            found.push(...rows.value);
            const last = rows.value.at(-1);
            if (last === undefined || rows.value.length < rowsPerPage) {
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
