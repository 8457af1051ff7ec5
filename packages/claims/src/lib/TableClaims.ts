import { type Row, type TableStore } from "@waxwingspar/stores";
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
import { encodeClaim, keyHashOf, shortHash } from "./claimId.js";
import { type Claim, type ClaimRequest, type Claims } from "./Claims.js";

const claimRowSchema = z.object({
    digest: z.string(),
    generation: z.number().int(),
    runner: z.object({ target: z.string(), incarnation: z.string() }),
});

type ClaimRow = z.infer<typeof claimRowSchema>;

interface KnownClaim {
    readonly claim: ClaimRow;
    /** When the store held it, on the clock. */
    readonly at: number;
}

const tablePrefix = "claim-rows/";
const series = "table";
const retryAfter = 1000;
/** Claims that are remembered: as many as an agent remembers of those that it ran. */
const mostKnown = 20_000;

/**
 * Claims with a row of its own for each request: the plainest way, for small sites and as the baseline of measurements.
 * It costs one write for each request and keeps every row; the store's operators delete old ones.
 *
 * A store that came back from a copy may lack claims that it had acknowledged. Those that this process knows are written again
 * when their key comes back; no other process can tell such a key from a new one.
 *
 * @public
 */
export class TableClaims implements Claims {
    /** By row key, the newest claim that the store is known to have held. */
    private readonly known = new LRUCache<string, KnownClaim>({ max: mostKnown });

    constructor(private readonly store: TableStore, private readonly clock: Clock = new SystemClock()) {}

    async acquire(request: ClaimRequest): Promise<Outcome<Claim>> {
        const found = await this.read(request);
        if (found.isErr) {
            return unavailable(found.error);
        }
        const { row, claim } = found.value;
        const lost = this.findLost(row.key, claim, request.retention);
        if (lost !== undefined) {
            return this.restore(row, lost, request);
        }
        if (claim !== undefined) {
            return claim.digest === shortHash(request.digest) ? granted(request, claim, false) : keyReused();
        }
        const created = { digest: shortHash(request.digest), generation: this.generation(0), runner: request.runner };
        const written = await this.write(row, created);
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
        const isOutdated = this.findLost(row.key, present, request.retention) !== undefined;
        if (present === undefined || isOutdated || idOf(request, present) !== claim.id) {
            return unavailable(failure(platformCodes.conditionFailed, "the claim was moved before"));
        }
        const moved = { ...present, generation: this.generation(present.generation), runner: request.runner };
        const written = await this.write(row, moved);
        return written.isOk ? granted(request, moved, true) : unavailable(written.error);
    }

    /** The claim that the store has acknowledged, if it now lacks it or holds an earlier one. */
    private findLost(key: string, present: ClaimRow | undefined, retention: number): ClaimRow | undefined {
        const known = this.known.get(key);
        if (known === undefined || this.clock.now() - known.at >= retention) {
            return undefined;
        }
        return (present?.generation ?? 0) < known.claim.generation ? known.claim : undefined;
    }

    /** Writes a claim again that the store had acknowledged and lacks now, so that its runner stays the only one. */
    private async restore(row: Row, lost: ClaimRow, request: ClaimRequest): Promise<Outcome<Claim>> {
        const written = await this.write(row, lost);
        if (written.isErr && written.error.code !== platformCodes.conditionFailed) {
            return unavailable(written.error);
        }
        return this.acquire(request);
    }

    /** The time of recording, as wide as a series without a counter can be; it only has to grow for each key. */
    private generation(earlier: number): number {
        return Math.max(earlier + 1, this.clock.date().getTime());
    }

    private async read(request: ClaimRequest): Promise<Outcome<{ row: Row; claim: ClaimRow | undefined; }>> {
        const outcome = await this.store.get(tablePrefix + keyHashOf(request));
        return outcome.map(row => {
            const claim = row.version === 0 ? undefined : claimRowSchema.parse(row.value);
            this.remember(row.key, claim);
            return { row, claim };
        });
    }

    private async write(row: Row, claim: ClaimRow): Promise<Outcome<unknown>> {
        const writeId = uniqueId();
        const outcome = await this.store.commit({
            writeId,
            conditions: [{ key: row.key, version: row.version }],
            writes: [{ key: row.key, value: claim }],
        });
        if (outcome.isOk || outcome.error.code !== platformCodes.storeUnknown) {
            this.remember(row.key, outcome.isOk ? claim : undefined);
            return outcome;
        }
        const effect = await this.store.findCommit(writeId);
        const hasEffect = effect.isOk && effect.value !== undefined;
        this.remember(row.key, hasEffect ? claim : undefined);
        return hasEffect ? Result.ok(effect.value) : outcome;
    }

    /** Generations only grow, so an older claim of a copy does not replace the one that is known. */
    private remember(key: string, claim: ClaimRow | undefined): void {
        if (claim !== undefined && claim.generation >= (this.known.get(key)?.claim.generation ?? 0)) {
            this.known.set(key, { claim, at: this.clock.now() });
        }
    }
}

function idOf(request: ClaimRequest, { generation, runner }: ClaimRow): string {
    const { route, organisation } = request;
    return encodeClaim({ route, organisation, keyHash: keyHashOf(request), series, generation, runner });
}

function granted(request: ClaimRequest, row: ClaimRow, created: boolean): Outcome<Claim> {
    return Result.ok({ id: idOf(request, row), runner: row.runner, created });
}

function keyReused(): Outcome<Claim> {
    return Result.err(failure(requestCodes.keyReused, "the key stands for another request"));
}

function unavailable(cause: Failure): Outcome<Claim> {
    return Result.err(
        failure(requestCodes.claimUnavailable, cause.message, { retryAfter: cause.retryAfter ?? retryAfter }),
    );
}
