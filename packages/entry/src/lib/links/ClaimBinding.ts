import { type Claim, type ClaimRequest, type Claims, type FinalOutcome, type StoredReply } from "@waxwingspar/claims";
import { type Configuration } from "@waxwingspar/config";
import { type Failure, failure, type Outcome, requestCodes } from "@waxwingspar/utils";
import { Result } from "true-myth";
import { type AgentLink } from "./AgentLink.js";
import { type AgentAddress, type AgentLinks } from "./AgentLinks.js";

/**
 * The claim request of a request that is not idempotent, before a target and thus the runner has been chosen.
 *
 * @internal
 */
export type UnboundClaimRequest = Omit<ClaimRequest, "runner">;

/** @internal */
export interface ClaimBindingOptions {
    readonly claims: Claims;
    readonly links: AgentLinks;
    readonly configuration: Configuration;
    readonly claimRequest: UnboundClaimRequest;
    /** Looks up the final outcome that the runner of a claim stored before it left; by default, none is found. */
    readonly findFinalOutcome?: FindFinalOutcome;
}

/** Looks up the final outcome of a claim whose runner is gone. @public */
export type FindFinalOutcome = (claim: Claim) => Promise<FinalOutcome>;

/** Maximum number of successive runners of one claim, all gone, whose outcomes are looked up in one attempt. */
const maxGoneRunners = 3;

/**
 * The only runner that a claim allows, with the link to it.
 *
 * @internal
 */
export interface BoundRunner {
    readonly claim: Claim;
    readonly agent: AgentAddress;
    readonly link: AgentLink;
}

const runnerGone: Failure = failure(
    requestCodes.outcomeUnknown,
    "the process that may have run this request is gone",
);

/**
 * Binds a request that is not idempotent to the runner of its claim, so that the request reaches only that incarnation
 * of the process.
 *
 * @internal
 */
export class ClaimBinding {
    private readonly options: ClaimBindingOptions;
    private claim: Claim | undefined;
    private released = false;
    private wasClaimedBefore = false;
    private reply: StoredReply | undefined;

    constructor(options: ClaimBindingOptions) {
        this.options = options;
    }

    /** The only target that may run the request; undefined without a claim, or after its release. */
    get target(): string | undefined {
        return this.released ? undefined : this.claim?.runner.target;
    }

    /** True while the claim was recorded by an earlier duplicate of this request, which may have run. */
    get isEarlierClaim(): boolean {
        return this.wasClaimedBefore && !this.released;
    }

    /** The answer to an earlier duplicate, if `bind` found that the runner stored it before it left. */
    get storedReply(): StoredReply | undefined {
        return this.reply;
    }

    /**
     * Releases the claim, after its runner refused it as not run. That runner will never run it, so another one may.
     *
     * @returns True if the refusal may be that of an earlier duplicate, which the runner repeats. The runner might
     * accept the request now, so the claim may be moved to the same runner.
     */
    release(): boolean {
        const isEarlierClaim = this.isEarlierClaim;
        this.released = true;
        return isEarlierClaim;
    }

    /**
     * Records the claim for an agent, or finds the runner of an earlier duplicate.
     *
     * @param agent - The agent chosen by the router, which becomes the runner if there is no claim yet.
     * @param link - The link to it, whose hello contains the incarnation.
     * @returns The runner to send the request to; or `outcomeUnknown` if the claim's runner is gone without a record
     * that the request did not run; or `keyReused`; or `claimUnavailable`.
     */
    async bind(agent: AgentAddress, link: AgentLink): Promise<Outcome<BoundRunner>> {
        let bound = await this.bindOnce(agent, link);
        for (let gone = 0; gone < maxGoneRunners && await this.releaseIfNotRun(bound); gone++) {
            bound = await this.bindOnce(agent, link);
        }
        return bound;
    }

    /**
     * Releases the claim if its runner is gone and has stored that it did not run the request.
     *
     * @returns Whether the claim was released.
     */
    private async releaseIfNotRun(bound: Outcome<BoundRunner>): Promise<boolean> {
        const { claim, options: { findFinalOutcome } } = this;
        if (bound.isOk || bound.error !== runnerGone || claim === undefined || findFinalOutcome === undefined) {
            return false;
        }
        const final = await findFinalOutcome(claim);
        this.reply = final.kind === "answered" ? final.reply : undefined;
        this.released = final.kind === "notRun";
        return this.released;
    }

    private async bindOnce(agent: AgentAddress, link: AgentLink): Promise<Outcome<BoundRunner>> {
        const request = {
            ...this.options.claimRequest,
            runner: { target: agent.target, incarnation: link.incarnation },
        };
        const recorded = await this.acquireOrMove(request);
        if (recorded.isErr) {
            return Result.err(recorded.error);
        }
        this.claim = recorded.value;
        this.released = false;
        this.wasClaimedBefore = !recorded.value.created;
        const { runner } = recorded.value;
        if (runner.target === agent.target) {
            return this.check(recorded.value, agent, link);
        }
        return this.findRunner(recorded.value);
    }

    private async acquireOrMove(request: ClaimRequest): Promise<Outcome<Claim>> {
        if (this.claim === undefined) {
            return this.options.claims.acquire(request);
        }
        if (!this.released) {
            return Result.ok(this.claim);
        }
        const moved = await this.options.claims.move(this.claim, request);
        // Another entry may have moved the claim first; `acquire` then returns it with its new runner.
        return moved.isOk ? moved : this.options.claims.acquire(request);
    }

    private async findRunner(claim: Claim): Promise<Outcome<BoundRunner>> {
        const target = this.options.configuration.get("target", claim.runner.target);
        if (target === undefined) {
            return Result.err(runnerGone);
        }
        const agent = { target: target.name, host: target.spec.host, port: target.spec.port };
        const link = await this.options.links.connect(agent);
        return link.isErr ? Result.err(runnerGone) : this.check(claim, agent, link.value);
    }

    private check(claim: Claim, agent: AgentAddress, link: AgentLink): Outcome<BoundRunner> {
        if (claim.runner.incarnation !== link.incarnation) {
            return Result.err(runnerGone);
        }
        return Result.ok({ claim, agent, link });
    }
}
