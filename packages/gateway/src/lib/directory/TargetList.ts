import { type Clock, type Timer } from "@waxwingspar/utils";
import { type Logger } from "pino";
import { type RowChange, type StoredRow } from "../store/Store.js";
import { type Target } from "./Target.js";
import { type TargetDirectory } from "./TargetDirectory.js";

/** The result of decoding an entry of the platform's list. */
export type DecodedTarget =
    | { readonly kind: "target"; readonly target: Target; }
    /** The entry describes no usable target. */
    | { readonly kind: "unusable"; readonly reason: string; };

/** Options of {@link TargetList}. */
export interface TargetListOptions {
    readonly clock: Clock;
    readonly directory: TargetDirectory;
    /** Decodes an entry with any content, without throwing. */
    readonly decode: (id: string, document: unknown) => DecodedTarget;
    readonly logger: Logger;
}

/**
 * Milliseconds after a restore of the store after which a row that the copy brought back, and that still stands, is of a
 * target that lives: the platform removes the others after three heartbeat intervals (3.6 s).
 */
const copiedRowLifetime = 8_000;

/**
 * Applies the rows of the platform's list to the directory. An entry that describes no target may come from another
 * writer: it is logged once, and the other entries are applied.
 */
export class TargetList {
    /** For each key of a row that describes no target, the reason. */
    private readonly unusableRows = new Map<string, string>();
    /** Rows that have not changed since the store came back from a copy, by key. */
    private copiedRows = new Map<string, StoredRow>();
    private copiedRowsTimer: Timer | undefined;

    constructor(private readonly options: TargetListOptions) {}

    /**
     * Applies the complete list; see {@link TargetDirectory.replaceAll}. Rows of a restored list still count as restored
     * when they are read again unchanged.
     */
    applySnapshot(rows: readonly StoredRow[], graceEnd: number, isRestored = false): void {
        const copied = rows.filter(({ key, version }) => isRestored || this.copiedRows.get(key)?.version === version);
        this.copiedRows = new Map(copied.map(row => [row.key, row]));
        const targets = rows.flatMap(row => this.decode(row) ?? []);
        this.options.directory.replaceAll(targets, graceEnd, ({ id }) => this.copiedRows.has(id));
        if (isRestored) {
            this.copiedRowsTimer?.cancel();
            this.copiedRowsTimer = this.options.clock.schedule(() => this.addCopied(), copiedRowLifetime);
        }
    }

    /** Adds the targets that were taken for gone, but whose rows have been kept since the restore. */
    private addCopied(): void {
        const { directory } = this.options;
        const kept = [...this.copiedRows.values()].filter(({ key }) => directory.get(key) === undefined);
        this.copiedRows.clear();
        kept.flatMap(row => this.decode(row) ?? []).forEach(target => directory.put(target));
    }

    /**
     * Applies changes of the list. A target whose entry was overwritten with an unusable one is removed without a grace
     * period, even after an outage of the store.
     */
    applyChanges(changes: readonly RowChange[], graceEnd: number): void {
        const { directory } = this.options;
        for (const { key, row } of changes) {
            this.copiedRows.delete(key);
            const target = row === undefined ? undefined : this.decode(row);
            if (target !== undefined) {
                directory.put(target);
            }
            else {
                directory.remove(key, row === undefined ? graceEnd : -Infinity);
            }
            if (row === undefined) {
                this.unusableRows.delete(key);
            }
        }
    }

    private decode({ key, value, version }: StoredRow): Target | undefined {
        const decoded = this.options.decode(key, value);
        if (decoded.kind === "target") {
            this.unusableRows.delete(key);
            return decoded.target;
        }
        const { reason } = decoded;
        if (this.unusableRows.get(key) !== reason) {
            this.unusableRows.set(key, reason);
            this.options.logger.warn({ target: key, row: version, reason }, "entry names no target");
        }
        return undefined;
    }
}
