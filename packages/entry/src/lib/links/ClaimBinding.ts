import { type Claim, type ClaimRequest, type Claims, type FinalOutcome, type StoredReply } from "@waxwingspar/claims";
import { type Configuration } from "@waxwingspar/config";
import { type Failure, failure, type Outcome, requestCodes } from "@waxwingspar/utils";
import { Result } from "true-myth";
import { type AgentLink } from "./AgentLink.js";
import { type AgentAddress, type AgentLinks } from "./AgentLinks.js";

/**
 * What a request that is not idempotent claims; the runner is known only once a target has been chosen.
 *
 * @internal
 */
export type ClaimSubject = Omit<ClaimRequest, "runner">;

/** @internal */
export interface ClaimBindingOptions {
    readonly claims: Claims;
    readonly links: AgentLinks;
    readonly configuration: Configuration;
    readonly subject: ClaimSubject;
    /** Tells what the runner of a claim wrote down when it left gracefully. By default nothing. */
    readonly findLeft?: FindLeft;
}

/** Looks up what became of a claim whose runner is gone. @public */
export type FindLeft = (claim: Claim) => Promise<FinalOutcome>;

/** Runners of one claim, each gone after another, that are looked up in one attempt. */
const maxRunnersGone = 3;

/**
 * The one runner that a claim allows.
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
 * Ties a request that is not idempotent to the runner of its claim. It reaches that one process start and no other.
 *
 * @internal
 */
export class ClaimBinding {
    private readonly options: ClaimBindingOptions;
    private claim: Claim | undefined;
    private released = false;
    private earlier = false;
    private reply: StoredReply | undefined;

    constructor(options: ClaimBindingOptions) {
        this.options = options;
    }

    /** The target that alone may run the request, once there is one. */
    get target(): string | undefined {
        return this.released ? undefined : this.claim?.runner.target;
    }

    /** True while the claim is one that a duplicate of this request had recorded: that one may have run. */
    get found(): boolean {
        return this.earlier && !this.released;
    }

    /** The answer of an earlier duplicate, once `bind` has found that its runner left it behind. */
    get leftReply(): StoredReply | undefined {
        return this.reply;
    }

    /**
     * The runner refused the claim as not run and will never run it, so that another may.
     *
     * @returns True if the refusal may be a promise made to an earlier duplicate. It then says nothing about how the
     * runner would answer now, and the claim may be moved to the same runner.
     */
    release(): boolean {
        const found = this.found;
        this.released = true;
        return found;
    }

    /**
     * Records the claim for an agent, or finds the runner of an earlier duplicate.
     *
     * @param agent - The agent that was chosen for a request without a claim.
     * @param link - The link to it; its hello names the incarnation.
     * @returns The runner to send to; `outcomeUnknown` when the claim's runner is gone and
     * did not write down that it never ran; `keyReused`; `claimUnavailable`.
     */
    async bind(agent: AgentAddress, link: AgentLink): Promise<Outcome<BoundRunner>> {
        let bound = await this.bindOnce(agent, link);
        for (let gone = 0; gone < maxRunnersGone && await this.releasedByLeaving(bound); gone++) {
            bound = await this.bindOnce(agent, link);
        }
        return bound;
    }

    /** Whether the claim's runner is gone, but has proved that it did not run the request, so that another may. */
    private async releasedByLeaving(bound: Outcome<BoundRunner>): Promise<boolean> {
        const { claim, options: { findLeft } } = this;
        if (bound.isOk || bound.error !== runnerGone || claim === undefined || findLeft === undefined) {
            return false;
        }
        const left = await findLeft(claim);
        this.reply = left.kind === "answered" ? left.reply : undefined;
        this.released = left.kind === "notRun";
        return this.released;
    }

    private async bindOnce(agent: AgentAddress, link: AgentLink): Promise<Outcome<BoundRunner>> {
        const request = { ...this.options.subject, runner: { target: agent.target, incarnation: link.incarnation } };
        const recorded = await this.record(request);
        if (recorded.isErr) {
            return Result.err(recorded.error);
        }
        this.claim = recorded.value;
        this.released = false;
        this.earlier = !recorded.value.created;
        const { runner } = recorded.value;
        if (runner.target === agent.target) {
            return this.check(recorded.value, agent, link);
        }
        return this.findRunner(recorded.value);
    }

    private async record(request: ClaimRequest): Promise<Outcome<Claim>> {
        if (this.claim === undefined) {
            return this.options.claims.acquire(request);
        }
        if (!this.released) {
            return Result.ok(this.claim);
        }
        const moved = await this.options.claims.move(this.claim, request);
        // Another entry may have moved the claim first: then it is found under its new runner.
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
