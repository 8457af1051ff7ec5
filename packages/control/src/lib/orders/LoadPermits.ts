import { type TableStore } from "@waxwingspar/stores";
import { failure, type Outcome, platformCodes, uniqueId } from "@waxwingspar/utils";
import { Result } from "true-myth";
import { z } from "zod";
import { type Lease } from "../leases/Lease.js";
import { commitResolved } from "../support/commitResolved.js";
import { withDefaults } from "../support/withDefaults.js";

/** The key of the row that lists every load in progress. @internal */
export const loadsKey = "loads";

const loadsSchema = z.object({
    duties: z.record(
        z.string(),
        z.object({
            /** Ids of the loads that are permitted to run. */
            active: z.array(z.string()),
            /** True if the duty wants more loads than it has permits for. */
            waiting: z.boolean(),
        }),
    ),
});

type Loads = z.infer<typeof loadsSchema>;

/**
 * A load that a duty wants to run.
 *
 * @public
 */
export interface WantedLoad {
    /** Stable for as long as the load is wanted. */
    readonly id: string;
    /** True if the load gets its permit before others, for example because it replaces a failed stage. */
    readonly urgent: boolean;
    /** False while the target lacks memory for it: a load that holds a permit may continue, but none is granted. */
    readonly fits: boolean;
}

/**
 * Options of {@link LoadPermits}.
 *
 * @public
 */
export interface LoadPermitsOptions {
    readonly store: TableStore;
    /**
     * Maximum number of loads that may run at once in the whole system, so that each gets a fair share of the weight
     * store's rate.
     */
    readonly limit?: number;
    /** Number of permits within the limit that are reserved for urgent loads. */
    readonly reserve?: number;
}

const defaultLimit = 16;

/**
 * Limits the concurrent loads from the weight store over all data centres. One row lists the loads in progress. A duty
 * adds its loads by a conditional write before it orders them, and removes them when they have ended. The row outlives
 * the holder of the duty, and the next holder continues from it.
 *
 * @public
 */
export class LoadPermits {
    private readonly options: Required<LoadPermitsOptions>;
    /** True while the row may list loads of this duty. */
    private isListed = true;

    constructor(options: LoadPermitsOptions) {
        const limit = options.limit ?? defaultLimit;
        this.options = withDefaults({ limit, reserve: Math.floor(limit / 4) }, options);
    }

    /**
     * Releases the permits of loads that are no longer wanted and requests permits for those that are.
     *
     * @param wanted - Every load that is in progress or wanted, most important first.
     * @returns The ids of the loads that may run.
     */
    async update(lease: Lease, wanted: readonly WantedLoad[]): Promise<Outcome<ReadonlySet<string>>> {
        if (wanted.length === 0 && !this.isListed) {
            return Result.ok(new Set());
        }
        const row = await this.options.store.get(loadsKey);
        if (row.isErr) {
            return Result.err(row.error);
        }
        const parsed = row.value.version === 0 ? { duties: {} } : loadsSchema.safeParse(row.value.value).data;
        if (parsed === undefined) {
            return Result.err(failure(platformCodes.storeUnavailable, "the row of loads in progress cannot be read"));
        }
        const next = this.allocate(parsed, lease.duty, wanted);
        if (JSON.stringify(next) !== JSON.stringify(parsed)) {
            const written = await lease.checked(() => this.write(row.value.version, next));
            if (written.isErr) {
                return Result.err(written.error);
            }
        }
        const own = next.duties[lease.duty]?.active ?? [];
        this.isListed = lease.duty in next.duties;
        return Result.ok(new Set(own));
    }

    private write(version: number, value: Loads): Promise<Outcome<Record<string, number>>> {
        return commitResolved(this.options.store, {
            writeId: uniqueId(),
            conditions: [{ key: loadsKey, version }],
            writes: [{ key: loadsKey, value }],
        });
    }

    private allocate(loads: Loads, duty: string, wanted: readonly WantedLoad[]): Loads {
        const { limit, reserve } = this.options;
        const others = Object.entries(loads.duties).filter(([name]) => name !== duty);
        const taken = others.reduce((sum, [, { active }]) => sum + active.length, 0);
        const fairShare = Math.max(1, Math.floor((limit - reserve) / (others.length + 1)));
        const before = new Set(loads.duties[duty]?.active);
        const active = wanted.filter(({ id }) => before.has(id)).map(({ id }) => id);
        const newLoads = wanted.filter(({ id, fits }) => fits && !before.has(id));
        for (const { id, urgent } of [...newLoads].sort((a, b) => Number(b.urgent) - Number(a.urgent))) {
            const room = limit - taken - active.length;
            if (urgent ? room > 0 : room > reserve && active.length < fairShare) {
                active.push(id);
            }
        }
        const duties = Object.fromEntries(others);
        const waiting = active.length < wanted.length;
        return { duties: wanted.length === 0 ? duties : { ...duties, [duty]: { active, waiting } } };
    }
}
