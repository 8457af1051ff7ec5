import { type Engine } from "@waxwingspar/engine";
import { type Clock, failure, type Outcome, requestCodes, type Timer } from "@waxwingspar/utils";
import { Result } from "true-myth";
import { callEngine } from "../callEngine.js";

/**
 * The agent's record of a session of the engine.
 *
 * @internal
 */
export interface SessionRecord {
    readonly request: string;
    readonly epoch: number;
    /** The id of the session at the engine. */
    readonly session: string;
    readonly model: string;
    readonly version: string;
    readonly adapter?: string;
    readonly first: number;
    readonly last: number;
    /**
     * Number of leading positions whose tokens all later attempts share: the prompt, and the part of the answer that
     * was delivered before this attempt began. Later tokens may have been sampled but never delivered.
     */
    readonly known: number;
}

/** An exported KV cache of a session. @internal */
export interface CacheExport {
    readonly positions: number;
    readonly known: number;
    readonly data: Uint8Array;
}

interface Entry {
    readonly record: SessionRecord;
    retireTimer: Timer | undefined;
    exported: Promise<Outcome<CacheExport>> | undefined;
}

/**
 * The engine sessions of this agent: those in use, and those of failed attempts, whose KV cache is retained for export
 * for a short time.
 *
 * @internal
 */
export class SessionTable {
    private readonly entries = new Map<string, Entry>();

    /** @param retention - Milliseconds for which a retired session is retained. */
    constructor(private readonly engine: Engine, private readonly clock: Clock, private readonly retention: number) {}

    /** Number of sessions that the engine holds for this agent. */
    get size(): number {
        return this.entries.size;
    }

    /** Adds a session that the engine has opened. */
    add(record: SessionRecord): void {
        this.entries.set(record.session, { record, retireTimer: undefined, exported: undefined });
    }

    /** Ends the use of a session: closes it immediately, or retains it for export if `retain` is set. */
    release(session: string, retain: boolean): void {
        const entry = this.entries.get(session);
        if (entry === undefined || !retain) {
            this.drop(session);
            return;
        }
        entry.retireTimer ??= this.clock.schedule(() => this.drop(session), this.retention);
    }

    /** Returns the newest session here of an earlier attempt that holds the same layers of the same version. */
    findEarlier(wanted: SessionRecord): SessionRecord | undefined {
        let best: SessionRecord | undefined;
        for (const { record } of this.entries.values()) {
            const fits = sameLayers(record, wanted) && record.epoch < wanted.epoch;
            if (fits && (best === undefined || record.epoch > best.epoch)) {
                best = record;
            }
        }
        return best;
    }

    /** Exports the KV cache of an attempt's session. Calls for the same session share one export. */
    async export(request: string, epoch: number): Promise<Outcome<CacheExport>> {
        const entry = this.find(request, epoch);
        if (entry === undefined) {
            return Result.err(failure(requestCodes.wrongTarget, "no KV cache of this attempt is held here"));
        }
        entry.exported ??= this.exportEntry(entry);
        return entry.exported;
    }

    /** Closes all retired sessions. */
    dropRetired(): void {
        [...this.entries.values()].filter(entry => entry.retireTimer !== undefined).forEach(entry =>
            this.drop(entry.record.session)
        );
    }

    private find(request: string, epoch: number): Entry | undefined {
        for (const entry of this.entries.values()) {
            if (entry.record.request === request && entry.record.epoch === epoch) {
                return entry;
            }
        }
        return undefined;
    }

    private async exportEntry(entry: Entry): Promise<Outcome<CacheExport>> {
        const { session, known } = entry.record;
        const outcome = await callEngine(() => this.engine.exportCache(session));
        return outcome.map(({ positions, data }) => ({ positions, data, known }));
    }

    private drop(session: string): void {
        this.entries.get(session)?.retireTimer?.cancel();
        this.entries.delete(session);
        // If closing fails, the engine is responsible for discarding the session.
        this.engine.close(session).catch(() => undefined);
    }
}

function sameLayers(a: SessionRecord, b: SessionRecord): boolean {
    return a.request === b.request
        && a.model === b.model
        && a.version === b.version
        && a.adapter === b.adapter
        && a.first === b.first
        && a.last === b.last;
}
