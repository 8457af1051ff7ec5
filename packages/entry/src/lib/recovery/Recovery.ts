import { type RetryBudget } from "@waxwingspar/policy";
import { type Clock, type Failure, requestCodes } from "@waxwingspar/utils";
import { type ClaimBinding } from "../links/ClaimBinding.js";
import { forCaller, mayRetryElsewhere } from "./failures.js";

/** @internal */
export interface RecoveryOptions {
    readonly retryBudget: RetryBudget;
    readonly clock: Clock;
    readonly maxAttempts: number;
    /** Set for a request that is not idempotent. */
    readonly binding: ClaimBinding | undefined;
    /** The result code for an idempotent request that may have run. */
    readonly mayHaveRunCode: Failure["code"];
    /** Called for each further attempt. */
    readonly onRetry: (cause: Failure) => void;
}

/**
 * Decides whether and when another attempt of a request may begin after one has ended without a complete answer, and
 * which failure is finally returned to the caller.
 *
 * @internal
 */
export class Recovery {
    /** Targets that failed this request and are excluded from the choice. */
    readonly exclude = new Set<string>();
    private readonly options: RecoveryOptions;
    private retries = 0;
    /** The last failure after which the request may have run. */
    private lost: Failure | undefined;
    private firstLossAt: number | undefined;

    constructor(options: RecoveryOptions) {
        this.options = options;
        options.retryBudget.request();
    }

    /** True once an attempt that may have run has failed. */
    get mayHaveRun(): boolean {
        return this.lost !== undefined;
    }

    /** The clock's time of the first lost attempt since the last progress. */
    get lostAt(): number | undefined {
        return this.firstLossAt;
    }

    /** Records that the answer has continued after a loss. */
    progressed(): void {
        this.firstLossAt = undefined;
    }

    completed(): void {
        this.options.retryBudget.ended(true);
    }

    /**
     * Handles the failure of an attempt that had been sent.
     *
     * @param target - The target that failed.
     * @param isBudgetExempt - True if the next attempt is not charged to the retry budget: the first one after losing an
     * answer that had begun, one after a refusal to continue such an answer, and one requested by a leaving target.
     * None of these repeats work during an overload.
     * @returns Milliseconds until the next attempt, or undefined if the failure is final.
     */
    afterFailed(cause: Failure, target: string, isBudgetExempt: boolean): number | undefined {
        this.options.retryBudget.ended(false);
        if (cause.code.execution !== "not run") {
            this.lost = cause;
            this.firstLossAt ??= this.options.clock.now();
        }
        else if (this.options.binding !== undefined && this.lost !== undefined) {
            // An earlier attempt may have run. Only its continuation was refused, so the claim stays with its runner.
            return this.nextRetryDelay(cause);
        }
        else if (this.options.binding?.release() === true) {
            return this.nextRetryDelay(cause);
        }
        return this.retryElsewhere(cause, target, isBudgetExempt);
    }

    /**
     * Handles an attempt that sent nothing within its time limit. It is kept unless another attempt may follow, since
     * it may still answer.
     *
     * @returns As for {@link Recovery.afterFailed}; undefined if the attempt is kept.
     */
    afterSilence(cause: Failure, target: string, isBudgetExempt: boolean): number | undefined {
        if (this.retries + 1 >= this.options.maxAttempts) {
            return undefined;
        }
        const delay = this.retryElsewhere(cause, target, isBudgetExempt);
        if (delay !== undefined) {
            this.options.retryBudget.ended(false);
            this.lost = cause;
            this.firstLossAt ??= this.options.clock.now();
        }
        return delay;
    }

    /** Handles an attempt that was not sent, as no link could be opened or the claim binds it to another target. */
    afterNotSent(cause: Failure, target: string): number | undefined {
        const delay = this.options.binding?.target === undefined
            ? this.retryElsewhere(cause, target, false)
            : undefined;
        // Nothing was sent to any target, so there is no need for back-off.
        return delay === undefined ? undefined : 0;
    }

    /** Handles the lack of a target. A request that may have run is retried later; any other is refused immediately. */
    afterNoTarget(cause: Failure): number | undefined {
        if (this.lost === undefined) {
            return undefined;
        }
        // There may be no targets besides the failed ones, and these may have recovered by now.
        this.exclude.clear();
        return this.nextRetryDelay(cause);
    }

    /** The failure as returned to the caller. A request that may have run is never reported as not run. */
    toCallerFailure(cause: Failure): Failure {
        const { binding, mayHaveRunCode } = this.options;
        const notRun = cause.code.execution === "not run";
        if (binding === undefined) {
            return forCaller(notRun ? this.lost ?? cause : cause, mayHaveRunCode);
        }
        if (notRun && this.lost === undefined && !binding.isEarlierClaim) {
            return forCaller(cause, requestCodes.outcomeUnknown);
        }
        return { ...cause, code: unknownCode(cause), retryAfter: undefined };
    }

    private retryElsewhere(cause: Failure, target: string, isBudgetExempt: boolean): number | undefined {
        const { binding, retryBudget } = this.options;
        const runnerFailed = binding?.target !== undefined && binding.target === target;
        if (runnerFailed || !mayRetryElsewhere(cause)) {
            return undefined;
        }
        if (!isBudgetExempt && !retryBudget.spend(cause.code.execution === "not run" ? "refused" : "failed")) {
            return undefined;
        }
        this.exclude.add(target);
        return this.nextRetryDelay(cause);
    }

    private nextRetryDelay(cause: Failure): number | undefined {
        if (this.retries + 1 >= this.options.maxAttempts) {
            return undefined;
        }
        this.retries++;
        this.options.onRetry(cause);
        return this.retries === 1 ? 0 : this.options.retryBudget.backoff(this.retries - 1);
    }
}

/** The result code for a request that is not idempotent and may have run. */
function unknownCode(cause: Failure): Failure["code"] {
    const { cancelled, deadlineExceeded, inProgress } = requestCodes;
    const kept: readonly Failure["code"][] = [cancelled, deadlineExceeded, inProgress];
    return kept.includes(cause.code) ? cause.code : requestCodes.outcomeUnknown;
}
