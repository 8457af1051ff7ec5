import { type Claim, type ClaimRequest, type Claims } from "@waxwingspar/claims";
import { failure, type Outcome, requestCodes } from "@waxwingspar/utils";
import { Result } from "true-myth";

/**
 * In-memory claims that two entries of a test may share.
 *
 * @internal
 */
export class FakeClaims implements Claims {
    available = true;
    private readonly claims = new Map<string, { claim: Claim; digest: string; }>();
    private moves = 0;

    async acquire(request: ClaimRequest): Promise<Outcome<Claim>> {
        await Promise.resolve();
        if (!this.available) {
            return Result.err(failure(requestCodes.claimUnavailable, "the store is down", { retryAfter: 700 }));
        }
        const name = JSON.stringify([request.route, request.organisation, request.key]);
        const known = this.claims.get(name);
        if (known === undefined) {
            const claim = { id: name, runner: request.runner, created: true };
            this.claims.set(name, { claim, digest: request.digest });
            return Result.ok(claim);
        }
        if (known.digest !== request.digest) {
            return Result.err(failure(requestCodes.keyReused, "the key is in use"));
        }
        return Result.ok({ ...known.claim, created: false });
    }

    async move(claim: Claim, request: ClaimRequest): Promise<Outcome<Claim>> {
        await Promise.resolve();
        const name = JSON.stringify([request.route, request.organisation, request.key]);
        const known = this.claims.get(name);
        if (known?.claim.id !== claim.id) {
            return Result.err(failure(requestCodes.claimUnavailable, "another process moved it"));
        }
        const moved = { id: `${name}/${++this.moves}`, runner: request.runner, created: true };
        this.claims.set(name, { claim: moved, digest: request.digest });
        return Result.ok(moved);
    }
}
