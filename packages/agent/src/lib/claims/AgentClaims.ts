import { type FinalClaims, type ReportedClaim, type ReportRequest } from "@waxwingspar/claims";
import { type Outcome } from "@waxwingspar/utils";
import { type AgentContext } from "../AgentContext.js";
import { type CallClaims } from "../service/CallSink.js";
import { type AnswerClaims } from "./AnswerRecord.js";
import { ClaimTable, type ClaimTableOptions } from "./ClaimTable.js";
import { collectFinalClaims } from "./collectFinalClaims.js";

/** Stores the final state of the claims of an agent that has left. @public */
export type WriteFinalClaims = (finalClaims: FinalClaims) => Promise<Outcome<void>>;

/**
 * All claims of one agent: those of model requests and those of plain calls.
 *
 * @internal
 */
export class AgentClaims {
    readonly answers: AnswerClaims;
    readonly calls: CallClaims;

    constructor(
        private readonly context: AgentContext,
        private readonly incarnation: string,
        private readonly write: WriteFinalClaims | undefined,
    ) {
        this.answers = new ClaimTable(this.tableOptions(2 * context.settings.retainCache));
        this.calls = new ClaimTable(this.tableOptions(undefined));
    }

    /** Lists the claims in the request's range that have started here, and blocks the others in that range. */
    report(request: ReportRequest): readonly ReportedClaim[] {
        const reported = [...this.answers.report(request), ...this.calls.report(request)];
        const { log, target } = this.context;
        log.info({ target, ...request, reported: reported.length }, "agent: claims reported, unstarted ones blocked");
        return reported;
    }

    /** Stores the final state of the claims; cut-off requests count as interrupted. Call only once nothing can run. */
    async persist(): Promise<void> {
        const { incarnation, context: { clock, log, settings, target } } = this;
        const finalClaims = collectFinalClaims({
            runner: { target, incarnation },
            calls: this.calls,
            answers: this.answers,
            bytes: settings.leftClaimBytes,
            until: clock.date().getTime() + settings.leftClaimRetention,
        });
        const written = await this.write?.(finalClaims);
        if (written?.isErr === true) {
            log.warn({ code: written.error.code.number }, "agent: claims not stored, duplicates get unknown");
        }
    }

    private tableOptions(resumeWindow: number | undefined): ClaimTableOptions {
        const { incarnation, context: { clock, settings, target } } = this;
        return {
            target,
            incarnation,
            clock,
            limit: settings.claims,
            bytes: settings.claimBytes,
            answerRetention: settings.claimAnswerRetention,
            retention: settings.claimRetention,
            resumeWindow,
        };
    }
}
