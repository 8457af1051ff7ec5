import { type FinalClaims, type ReportedClaim, type ReportRequest } from "@waxwingspar/claims";
import { type Outcome } from "@waxwingspar/utils";
import { type AgentContext } from "../AgentContext.js";
import { type CallClaims } from "../service/CallSink.js";
import { type AnswerClaims } from "./AnswerRecord.js";
import { ClaimTable, type ClaimTableOptions } from "./ClaimTable.js";
import { collectLeftClaims } from "./collectLeftClaims.js";

/** Writes down what became of the claims of an agent that has left. @public */
export type WriteLeftClaims = (left: FinalClaims) => Promise<Outcome<void>>;

/**
 * Every claim of one agent: those of model requests and those of plain calls.
 *
 * @internal
 */
export class AgentClaims {
    readonly answers: AnswerClaims;
    readonly calls: CallClaims;

    constructor(
        private readonly context: AgentContext,
        private readonly incarnation: string,
        private readonly write: WriteLeftClaims | undefined,
    ) {
        this.answers = new ClaimTable(this.tableOptions(2 * context.settings.retainCache));
        this.calls = new ClaimTable(this.tableOptions(undefined));
    }

    /** Lists the claims that have begun here, and bars the others of the request's range. */
    report(request: ReportRequest): readonly ReportedClaim[] {
        const reported = [...this.answers.report(request), ...this.calls.report(request)];
        const { log, target } = this.context;
        log.info({ target, ...request, reported: reported.length }, "agent: claims told, earlier ones barred");
        return reported;
    }

    /** Writes down what became of the claims. Only once nothing can run any more; what was cut off is interrupted. */
    async writeDown(): Promise<void> {
        const { incarnation, context: { clock, log, settings, target } } = this;
        const left = collectLeftClaims({
            runner: { target, incarnation },
            calls: this.calls,
            answers: this.answers,
            bytes: settings.leftClaimBytes,
            until: clock.date().getTime() + settings.leftClaimRetention,
        });
        const written = await this.write?.(left);
        if (written?.isErr === true) {
            log.warn({ code: written.error.code.number }, "agent: claims not written down, duplicates get unknown");
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
