import { type Observation } from "../observation/Observation.js";
import {
    type ConditionalWrite,
    type Store,
    type StoreAnswer,
    type StoreFailure,
    type TableChanges,
    type TableSnapshot,
    type WriteResult,
} from "./Store.js";
import { type StoreEras } from "./StoreEras.js";

/** Options of {@link EraStore}. */
export interface EraStoreOptions {
    readonly store: Store;
    readonly eras: StoreEras;
    readonly observation: Observation;
}

/**
 * The store, with answers that do not fit its era turned into failures. Versions mean something within one era only: a
 * call that was made by a version of an earlier one is not to be believed, whatever it gave, and neither is an answer that was given
 * before the store came back and arrives after it.
 */
export class EraStore implements Store {
    /** The newest version that any answer told, for the log. */
    private version = 0;

    constructor(private readonly options: EraStoreOptions) {}

    async read(table: string): Promise<({ readonly kind: "read"; } & TableSnapshot) | StoreFailure> {
        const result = await this.options.store.read(table);
        const isLate = this.note(result, "read" === result.kind ? result.version : undefined) === "older";
        return isLate ? lateAnswer : result;
    }

    async watch(
        table: string,
        after: number,
        wait: number,
    ): Promise<({ readonly kind: "changes"; } & TableChanges) | StoreFailure> {
        const asked = this.options.eras.current;
        const result = await this.options.store.watch(table, after, wait);
        const isLate = this.note(result, "changes" === result.kind ? result.version : undefined) === "older";
        if (isLate) {
            return lateAnswer;
        }
        return this.isOfEra(asked, result) ? result : { kind: "historyGone" };
    }

    async write(write: ConditionalWrite): Promise<WriteResult> {
        const asked = this.options.eras.current;
        const result = await this.options.store.write(write);
        const isLate = this.note(result, "written" === result.kind ? result.version : undefined) === "older";
        if (isLate) {
            return lateAnswer;
        }
        if (result.kind === "conflict" || this.isOfEra(asked, result)) {
            return result;
        }
        // The row that the condition named may be another one by now, so nobody can say what the write has replaced.
        return { kind: "unknown", reason: "the store has come back from a copy" };
    }

    private isOfEra(asked: number | undefined, { era }: StoreAnswer): boolean {
        return asked === undefined || era === undefined || era === asked;
    }

    private note({ era }: StoreAnswer, version: number | undefined): string {
        const { eras, observation } = this.options;
        const before = eras.current;
        const relation = eras.note(era);
        if (relation === "newer") {
            observation.metrics.storeEras.add({});
            observation.logs.process.warn(
                { era, before, version, versionBefore: this.version },
                "store came back from a copy",
            );
            this.version = 0;
        }
        else if (relation === "older") {
            observation.logs.process.warn({ era, current: before }, "answer of an earlier era");
        }
        this.version = Math.max(this.version, version ?? 0);
        return relation;
    }
}

const lateAnswer: StoreFailure = { kind: "unknown", reason: "answer of an earlier era" };
