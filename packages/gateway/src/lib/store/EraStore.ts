import { type Observation } from "../observation/Observation.js";
import {
    type ConditionalWrite,
    type ReadOptions,
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
 * Wraps a store and turns replies that do not match its current era into failures. Versions are valid within one era
 * only, so the result of a call that was sent with a version of an earlier era is not reliable, and neither is a reply
 * from before a restore that arrives after it.
 */
export class EraStore implements Store {
    /** The newest version in any reply of the current era, for the log. */
    private version = 0;

    constructor(private readonly options: EraStoreOptions) {}

    async read(
        table: string,
        options?: ReadOptions,
    ): Promise<({ readonly kind: "read"; } & TableSnapshot) | StoreFailure> {
        const result = await this.options.store.read(table, options);
        const isStale = this.observeEra(result, "read" === result.kind ? result.version : undefined) === "older";
        return isStale ? staleAnswer : result;
    }

    async watch(
        table: string,
        after: number,
        wait: number,
        options?: ReadOptions,
    ): Promise<({ readonly kind: "changes"; } & TableChanges) | StoreFailure> {
        const asked = this.options.eras.current;
        const result = await this.options.store.watch(table, after, wait, options);
        const isLate = this.observeEra(result, "changes" === result.kind ? result.version : undefined) === "older";
        if (isLate) {
            return staleAnswer;
        }
        return this.isSameEra(asked, result) ? result : { kind: "historyGone" };
    }

    async write(write: ConditionalWrite): Promise<WriteResult> {
        const asked = this.options.eras.current;
        const result = await this.options.store.write(write);
        const isLate = this.observeEra(result, "written" === result.kind ? result.version : undefined) === "older";
        if (isLate) {
            return staleAnswer;
        }
        if (result.kind === "conflict" || this.isSameEra(asked, result)) {
            return result;
        }
        // The expected version may belong to a different row content in the new era, so it is unknown what the write
        // has replaced.
        return { kind: "unknown", reason: "the store has come back from a copy" };
    }

    private isSameEra(asked: number | undefined, { era }: StoreAnswer): boolean {
        return asked === undefined || era === undefined || era === asked;
    }

    private observeEra({ era }: StoreAnswer, version: number | undefined): string {
        const { eras, observation } = this.options;
        const before = eras.current;
        const relation = eras.observe(era);
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

const staleAnswer: StoreFailure = { kind: "unknown", reason: "answer of an earlier era" };
