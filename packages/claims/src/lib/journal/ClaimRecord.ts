import { z } from "zod";
import { encodeClaim } from "../claimId.js";
import { type Claim, type ClaimRequest, type Runner } from "../Claims.js";

/**
 * A claim as a partition stores it.
 *
 * @internal
 */
export interface ClaimRecord {
    /** The hash of route, organisation and key. */
    readonly keyHash: string;
    /** The hash of the request's digest. */
    readonly digest: string;
    /** Increases with each record of the key, and with each era of the store. */
    readonly generation: number;
    readonly runner: Runner;
    /** Partition time in milliseconds from which the claim may be dropped. */
    readonly expiry: number;
}

/**
 * Records as they are stored. Each runner is listed once, since a few hundred runners recur in all records.
 *
 * @internal
 */
export const recordBlockSchema = z.object({
    runners: z.array(z.object({ target: z.string(), incarnation: z.string() })),
    records: z.array(z.object({
        keyHash: z.string(),
        digest: z.string(),
        generation: z.number().int(),
        /** An index into `runners`. */
        runner: z.number().int(),
        expiry: z.number(),
    })),
}).refine(({ runners, records }) => records.every(({ runner }) => runners[runner] !== undefined));

/** @internal */
export type RecordBlock = z.infer<typeof recordBlockSchema>;

/** Packs records for the store. @internal */
export function packRecords(records: readonly ClaimRecord[]): RecordBlock {
    const indexes = new Map<string, number>();
    const runners: Runner[] = [];
    const indexOf = (runner: Runner): number => {
        const name = runnerName(runner);
        const index = indexes.get(name) ?? runners.length;
        if (index === runners.length) {
            indexes.set(name, index);
            runners.push(runner);
        }
        return index;
    };
    return { records: records.map(record => ({ ...record, runner: indexOf(record.runner) })), runners };
}

/** Unpacks records. Records of the same runner share one runner object. @internal */
export function unpackRecords({ runners, records }: RecordBlock): ClaimRecord[] {
    return records.map(record => {
        const runner = runners[record.runner];
        if (runner === undefined) {
            throw new Error("a record refers to a runner that its block does not list");
        }
        return { ...record, runner };
    });
}

/** A string that identifies a runner. @internal */
export function runnerName({ target, incarnation }: Runner): string {
    return JSON.stringify([target, incarnation]);
}

/**
 * The claim to return to a caller for a record.
 *
 * @param series - The partition's generation series.
 *
 * @internal
 */
export function claimOf(request: ClaimRequest, record: ClaimRecord, series: string, created: boolean): Claim {
    const { route, organisation } = request;
    const { keyHash, generation, runner } = record;
    return { id: encodeClaim({ route, organisation, keyHash, series, generation, runner }), runner, created };
}
