import { type Logger } from "pino";
import { type RowChange, type StoredRow } from "../store/Store.js";
import { type Target } from "./Target.js";
import { type TargetDirectory } from "./TargetDirectory.js";

/** What an entry of the platform's list says. */
export type DecodedTarget =
    | { readonly kind: "target"; readonly target: Target; }
    /** It names no target that could be used, for this reason. */
    | { readonly kind: "unusable"; readonly reason: string; };

/** Options of {@link TargetList}. */
export interface TargetListOptions {
    readonly directory: TargetDirectory;
    /** Decodes an entry, whatever stands in it. */
    readonly decode: (id: string, document: unknown) => DecodedTarget;
    readonly logger: Logger;
}

/**
 * Brings the rows of the platform's list into the directory. An entry that names no target may be another writer's: it is
 * logged once, and the others hold.
 */
export class TargetList {
    /** Rows that name no target, and why. */
    private readonly unusableRows = new Map<string, string>();

    constructor(private readonly options: TargetListOptions) {}

    /** Takes the whole list; see {@link TargetDirectory.replaceAll}. */
    takeAll(rows: readonly StoredRow[], graceEnd: number, isRestored = false): void {
        const targets = rows.flatMap(row => this.decode(row) ?? []);
        this.options.directory.replaceAll(targets, graceEnd, isRestored);
    }

    /** Takes what changed. An entry that was overwritten names its target no more, whatever the state of the store. */
    takeChanges(changes: readonly RowChange[], graceEnd: number): void {
        const { directory } = this.options;
        for (const { key, row } of changes) {
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
