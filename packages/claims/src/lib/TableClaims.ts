import { type Row, type TableStore, type Transaction } from "@waxwingspar/stores";
import {
    type Clock,
    type Failure,
    failure,
    type Outcome,
    platformCodes,
    requestCodes,
    SystemClock,
    uniqueId,
} from "@waxwingspar/utils";
import { LRUCache } from "lru-cache";
import { Result } from "true-myth";
import { z } from "zod";
import { encodeClaim, keyHashOf, shortHash, unknownDigest } from "./claimId.js";
import { type Claim, type ClaimRequest, type Claims } from "./Claims.js";
import {
    type ClaimRecovery,
    type CollectReports,
    type ReportedClaim,
    type ReportRequest,
} from "./recovery/ClaimReport.js";
import { firstGeneration } from "./recovery/generations.js";
import {
    readRecoveryMarker,
    type RecoveryMarker,
    recoveryMarkerCondition,
    recoveryMarkerWrites,
} from "./recovery/RecoveryMarker.js";
import { selectPrevailingClaims } from "./recovery/selectPrevailingClaims.js";

const claimRowSchema = z.object({
    digest: z.string(),
    generation: z.number().int(),
    runner: z.object({ target: z.string(), incarnation: z.string() }),
});

type ClaimRow = z.infer<typeof claimRowSchema>;

interface KnownClaim {
    readonly claim: ClaimRow;
    /** Clock time in milliseconds from which the claim may be evicted. */
    readonly expiry: number;
}

/** Options of {@link TableClaims}. @public */
export interface TableClaimsOptions {
    /**
     * Collects the claims that the other processes and the runners know but the store may have lost. The default
     * collects none, which is correct only if no other process records or runs claims.
     */
    readonly collectReports?: CollectReports;
    /** Runs after each attempt to recover lost claims. */
    readonly onRecovery?: (recovery: ClaimRecovery) => void;
}

const defaults = {
    collectReports: () => Promise.resolve(Result.ok<readonly ReportedClaim[], Failure>([])),
    onRecovery: () => undefined,
};

/** A row and its claim, read after lost claims were recovered in the same era of the store. */
interface FoundRow {
    readonly row: Row;
    readonly claim: ClaimRow | undefined;
    readonly marker: RecoveryMarker | undefined;
    readonly era: number;
}

const tablePrefix = "claim-rows/";
const markerPrefix = "claim-settled";
const series = "table";
/** Milliseconds after which a caller may retry. */
const retryAfter = 1000;
/** Maximum number of claims kept in memory. An agent keeps the same number of the claims that it ran. */
const maxKnownClaims = 20_000;

/**
 * Stores each claim in a row of its own. This simple design suits small sites and is the baseline for benchmarks. It
 * costs one write per request and never deletes rows; operators of the store delete old ones.
 *
 * A store that was restored from an older copy may lack claims that it had acknowledged; each restore starts a new era
 * of the store. Before any claim is granted or returned in a new era, one process collects such claims from all
 * processes that may know them and writes them again.
 *
 * @public
 */
export class TableClaims implements Claims {
    /** The newest claim that the store is known to have held, by row key. */
    private readonly known = new LRUCache<string, KnownClaim>({ max: maxKnownClaims });
    private readonly options: Required<TableClaimsOptions>;
    private marker: RecoveryMarker | undefined;

    constructor(
        private readonly store: TableStore,
        private readonly clock: Clock = new SystemClock(),
        options: TableClaimsOptions = {},
    ) {
        this.options = { ...defaults, ...options };
    }

    async acquire(request: ClaimRequest): Promise<Outcome<Claim>> {
        const found = await this.read(request);
        if (found.isErr) {
            return unavailable(found.error);
        }
        const { row, claim } = found.value;
        const lost = this.findLost(row.key, claim);
        if (lost !== undefined) {
            return this.restore(found.value, lost, request);
        }
        if (claim !== undefined) {
            return matchesRequest(request, claim) ? granted(request, claim, false) : keyReused();
        }
        const digest = shortHash(request.digest);
        const created = { digest, generation: this.generation(0, found.value), runner: request.runner };
        const written = await this.write(found.value, created, request.retention);
        if (written.isOk) {
            return granted(request, created, true);
        }
        return written.error.code === platformCodes.conditionFailed
            ? this.acquire(request)
            : unavailable(written.error);
    }

    async move(claim: Claim, request: ClaimRequest): Promise<Outcome<Claim>> {
        const found = await this.read(request);
        if (found.isErr) {
            return unavailable(found.error);
        }
        const { row, claim: present } = found.value;
        const isOutdated = this.findLost(row.key, present) !== undefined;
        if (present === undefined || isOutdated || idOf(request, present) !== claim.id) {
            return unavailable(failure(platformCodes.conditionFailed, "the claim has already been moved"));
        }
        const generation = this.generation(present.generation, found.value);
        const moved = { ...present, generation, runner: request.runner };
        const written = await this.write(found.value, moved, request.retention);
        return written.isOk ? granted(request, moved, true) : unavailable(written.error);
    }

    /** The claims of earlier eras of the store that this process knows. */
    report(request: ReportRequest): readonly ReportedClaim[] {
        if (request.series !== series) {
            return [];
        }
        const now = this.clock.now();
        return [...this.known]
            .filter(([, { claim, expiry }]) => now < expiry && claim.generation < request.before)
            .map(([key, { claim }]) => ({ ...claim, keyHash: key.slice(tablePrefix.length), state: "granted" }));
    }

    /** The claim that the store acknowledged, if the store now has none or an older one for the key. */
    private findLost(key: string, present: ClaimRow | undefined): ClaimRow | undefined {
        const known = this.known.get(key);
        if (known === undefined || this.clock.now() >= known.expiry) {
            return undefined;
        }
        return (present?.generation ?? 0) < known.claim.generation ? known.claim : undefined;
    }

    /** Rewrites a claim that the store acknowledged and has lost, so that no second runner is granted the request. */
    private async restore(found: FoundRow, lost: ClaimRow, request: ClaimRequest): Promise<Outcome<Claim>> {
        const written = await this.write(found, lost, request.retention);
        if (written.isErr && written.error.code !== platformCodes.conditionFailed) {
            return unavailable(written.error);
        }
        return this.acquire(request);
    }

    /** Derived from the wall clock, since this series has no counter. It only has to increase for each key. */
    private generation(earlier: number, { era }: FoundRow): number {
        return Math.max(earlier + 1, firstGeneration(era) + this.clock.date().getTime());
    }

    private async read(request: ClaimRequest): Promise<Outcome<FoundRow>> {
        for (;;) {
            const { era } = this.store;
            const recovered = await this.ensureRecovered(era);
            if (recovered.isErr) {
                return Result.err(recovered.error);
            }
            const row = await this.store.get(tablePrefix + keyHashOf(request));
            if (row.isErr) {
                return Result.err(row.error);
            }
            // Reads from two eras must not be combined.
            if (this.store.era === era) {
                const claim = claimOf(row.value);
                this.remember(row.value.key, claim, request.retention);
                return Result.ok({ row: row.value, claim, marker: this.marker, era });
            }
        }
    }

    /** Ensures that the claims of earlier eras which the store lost have been written again. */
    private async ensureRecovered(era: number): Promise<Outcome<void>> {
        if (era === (this.marker?.era ?? 0)) {
            return Result.ok<void, never>(undefined);
        }
        const known = await readRecoveryMarker(this.store, markerPrefix);
        if (known.isErr) {
            return Result.err(known.error);
        }
        if (this.store.era !== era) {
            return this.ensureRecovered(this.store.era);
        }
        if (known.value?.era === era) {
            this.marker = known.value;
            return Result.ok<void, never>(undefined);
        }
        const recovered = await this.recoverAll(era, known.value);
        const refusal = recovered.isErr ? recovered.error.message : undefined;
        this.options.onRecovery({ series, era, reported: recovered.unwrapOr(0), refusal });
        return recovered.isErr ? Result.err(recovered.error) : this.ensureRecovered(era);
    }

    /** Collects the claims that processes know and rewrites those that the store lost. @returns The number reported. */
    private async recoverAll(era: number, marker: RecoveryMarker | undefined): Promise<Outcome<number>> {
        const request = { series, before: firstGeneration(era) };
        const reports = await this.options.collectReports(request);
        if (reports.isErr) {
            return Result.err(reports.error);
        }
        const reported = [...reports.value, ...this.report(request)];
        for (const claim of selectPrevailingClaims(reported)) {
            const restored = await this.recover(claim, era, marker);
            if (restored.isErr) {
                return Result.err(restored.error);
            }
        }
        const committed = await this.commit(era, {
            writeId: uniqueId(),
            conditions: [recoveryMarkerCondition(markerPrefix, marker)],
            writes: recoveryMarkerWrites(markerPrefix, marker, era),
        });
        return committed.map(() => reported.length);
    }

    /** Rewrites a reported claim unless the store holds it or a newer one. */
    private async recover(
        claim: ReportedClaim,
        era: number,
        marker: RecoveryMarker | undefined,
    ): Promise<Outcome<void>> {
        const row = await this.store.get(tablePrefix + claim.keyHash);
        if (row.isErr) {
            return Result.err(row.error);
        }
        const found = claimOf(row.value);
        // A claim that its runner has started prevails: the stored one was never granted or has been moved away.
        if (found !== undefined && claim.state !== "ran" && found.generation >= claim.generation) {
            return Result.ok<void, never>(undefined);
        }
        const { digest = found?.digest ?? unknownDigest, generation, runner } = claim;
        const written = await this.commit(era, {
            writeId: uniqueId(),
            conditions: [
                { key: row.value.key, version: row.value.version },
                recoveryMarkerCondition(markerPrefix, marker),
            ],
            writes: [{ key: row.value.key, value: { digest, generation, runner } }],
        });
        return written.map(() => undefined);
    }

    private async write(
        { row, marker, era }: FoundRow,
        claim: ClaimRow,
        retention: number,
    ): Promise<Outcome<unknown>> {
        const writeId = uniqueId();
        const outcome = await this.commit(era, {
            writeId,
            conditions: [{ key: row.key, version: row.version }, recoveryMarkerCondition(markerPrefix, marker)],
            writes: [{ key: row.key, value: claim }],
        });
        if (outcome.isOk || outcome.error.code !== platformCodes.storeUnknown) {
            this.remember(row.key, outcome.isOk ? claim : undefined, retention);
            return outcome;
        }
        const effect = await this.store.findCommit(writeId);
        const hasEffect = effect.isOk && effect.value !== undefined && this.store.era === era;
        this.remember(row.key, hasEffect ? claim : undefined, retention);
        return hasEffect ? Result.ok(effect.value) : outcome;
    }

    /** Commits in an era. A response from another era does not show whether the commit took effect in this one. */
    private async commit(era: number, transaction: Transaction): Promise<Outcome<Record<string, number>>> {
        const outcome = await this.store.commit(transaction);
        return this.store.era === era
            ? outcome
            : Result.err(failure(platformCodes.storeUnknown, "the store was restored from a copy during the call"));
    }

    /** Generations only increase, so an older claim from a copy does not replace a newer known one. */
    private remember(key: string, claim: ClaimRow | undefined, retention: number): void {
        if (claim !== undefined && claim.generation >= (this.known.get(key)?.claim.generation ?? 0)) {
            this.known.set(key, { claim, expiry: this.clock.now() + retention });
        }
    }
}

function claimOf({ version, value }: Row): ClaimRow | undefined {
    return version === 0 ? undefined : claimRowSchema.parse(value);
}

function matchesRequest({ digest }: ClaimRequest, row: ClaimRow): boolean {
    return row.digest === shortHash(digest) || row.digest === unknownDigest;
}

function idOf(request: ClaimRequest, { generation, runner }: ClaimRow): string {
    const { route, organisation } = request;
    return encodeClaim({ route, organisation, keyHash: keyHashOf(request), series, generation, runner });
}

function granted(request: ClaimRequest, row: ClaimRow, created: boolean): Outcome<Claim> {
    return Result.ok({ id: idOf(request, row), runner: row.runner, created });
}

function keyReused(): Outcome<Claim> {
    return Result.err(failure(requestCodes.keyReused, "the key was used for a different request"));
}

function unavailable(cause: Failure): Outcome<Claim> {
    return Result.err(
        failure(requestCodes.claimUnavailable, cause.message, { retryAfter: cause.retryAfter ?? retryAfter }),
    );
}
