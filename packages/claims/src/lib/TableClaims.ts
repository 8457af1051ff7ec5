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

const tablePrefix = "claim-rows/";
const series = "table";
const retryAfter = 1000;

/**
 * Claims with a row of its own for each request: the plainest way, for small sites and as the baseline of measurements.
 * It costs one write for each request and keeps every row; the store's operators delete old ones.
 *
 * @public
 */
export class TableClaims implements Claims {
    constructor(private readonly store: TableStore, private readonly clock: Clock = new SystemClock()) {}

    async acquire(request: ClaimRequest): Promise<Outcome<Claim>> {
        const found = await this.read(request);
        if (found.isErr) {
            return unavailable(found.error);
        }
        const { row, claim } = found.value;
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
        if (present === undefined || idOf(request, present) !== claim.id) {
            return unavailable(failure(platformCodes.conditionFailed, "the claim was moved before"));
        }
        const moved = { ...present, generation: this.generation(present.generation), runner: request.runner };
        const written = await this.write(row, moved);
        return written.isOk ? granted(request, moved, true) : unavailable(written.error);
    }

    /** The time of recording, as wide as a series without a counter can be; it only has to grow for each key. */
    private generation(earlier: number): number {
        return Math.max(earlier + 1, this.clock.date().getTime());
    }

    private async read(request: ClaimRequest): Promise<Outcome<{ row: Row; claim: ClaimRow | undefined; }>> {
        const outcome = await this.store.get(tablePrefix + keyHashOf(request));
        return outcome.map(row => ({
            row,
            claim: row.version === 0 ? undefined : claimRowSchema.parse(row.value),
        }));
    }

    private async write(row: Row, claim: ClaimRow): Promise<Outcome<unknown>> {
        const writeId = uniqueId();
        const outcome = await this.store.commit({
            writeId,
            conditions: [{ key: row.key, version: row.version }],
            writes: [{ key: row.key, value: claim }],
        });
        if (outcome.isOk || outcome.error.code !== platformCodes.storeUnknown) {
            return outcome;
        }
        const effect = await this.store.findCommit(writeId);
        return effect.isOk && effect.value !== undefined ? Result.ok(effect.value) : outcome;
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
