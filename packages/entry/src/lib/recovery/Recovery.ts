import { type RetryBudget } from "@waxwingspar/policy";
import { type Clock, type Failure, requestCodes } from "@waxwingspar/utils";
import { type ClaimBinding } from "../links/ClaimBinding.js";
import { forCaller, mayGoElsewhere } from "./failures.js";

/** @internal */
export interface RecoveryOptions {
    readonly retryBudget: RetryBudget;
    readonly clock: Clock;
    readonly maxAttempts: number;
    /** Set for a request that is not idempotent. */
    readonly binding: ClaimBinding | undefined;
    /** The code by which a caller is told that an idempotent request may have run. */
    readonly lostCode: Failure["code"];
    /** Runs for each further attempt. */
    readonly onRetry: (cause: Failure) => void;
}

/**
 * Decides, after an attempt of one request has ended without a whole answer, whether and when another may begin, and
 * what the caller is told at the end.
 *
 * @internal
 */
export class Recovery {
    /** Targets that failed this request. */
    readonly exclude = new Set<string>();
    private readonly options: RecoveryOptions;
    private retries = 0;
    /** The last failure that left open whether the request ran. */
    private lost: Failure | undefined;
    private lostTime: number | undefined;

    constructor(options: RecoveryOptions) {
        this.options = options;
        options.retryBudget.request();
    }

    /** True once an attempt has ended that may have run. */
    get mayHaveRun(): boolean {
        return this.lost !== undefined;
    }

    /** The clock's time of the first loss since the last progress. */
    get lostAt(): number | undefined {
        return this.lostTime;
    }

    /** The answer goes on. */
    progressed(): void {
        this.lostTime = undefined;
    }

    completed(): void {
        this.options.retryBudget.ended(true);
    }

    /**
     * An attempt that had been sent failed.
     *
     * @param target - The target at fault.
     * @param unfunded - True when the next attempt takes nothing from the budget: the first after the loss of an answer
     * that had begun, one after a refusal to go on with such an answer, and one that a leaving target asks for. None of
     * these repeats work in an overload.
     * @returns Milliseconds until the next attempt, or undefined when the failure is final.
     */
    afterFailed(cause: Failure, target: string, unfunded: boolean): number | undefined {
        this.options.retryBudget.ended(false);
        if (cause.code.execution !== "not run") {
            this.lost = cause;
            this.lostTime ??= this.options.clock.now();
        }
        else if (this.options.binding !== undefined && this.lost !== undefined) {
            // An earlier attempt may have run. This refusal is about going on, so the claim stays with its runner.
            return this.again(cause);
        }
        else if (this.options.binding?.release() === true) {
            return this.again(cause);
        }
        return this.retry(cause, target, unfunded);
    }

    /**
     * An attempt has been silent for too long. It goes on unless another one may follow, since its answer may still come.
     *
     * @returns As {@link Recovery.afterFailed}; undefined when the attempt is to go on.
     */
    afterSilence(cause: Failure, target: string, unfunded: boolean): number | undefined {
        if (this.retries + 1 >= this.options.maxAttempts) {
            return undefined;
        }
        const delay = this.retry(cause, target, unfunded);
        if (delay !== undefined) {
            this.options.retryBudget.ended(false);
            this.lost = cause;
            this.lostTime ??= this.options.clock.now();
        }
        return delay;
    }

    /** Nothing was sent, as no link to the target could be opened or the claim binds the request to another. */
    afterNotSent(cause: Failure, target: string): number | undefined {
        const delay = this.options.binding?.target === undefined ? this.retry(cause, target, false) : undefined;
        // Nobody has done any work yet, so there is nothing to hold back from.
        return delay === undefined ? undefined : 0;
    }

    /** No target was found. A request that may have run waits for one; any other is refused at once. */
    afterNoChoice(cause: Failure): number | undefined {
        if (this.lost === undefined) {
            return undefined;
        }
        // The targets that failed may be all there are; they may have come back by now.
        this.exclude.clear();
        return this.again(cause);
    }

    /** The failure as the caller is told it. A request that may have run is never reported as not run. */
    callersView(cause: Failure): Failure {
        const { binding, lostCode } = this.options;
        const notRun = cause.code.execution === "not run";
        if (binding === undefined) {
            return forCaller(notRun ? this.lost ?? cause : cause, lostCode);
        }
        if (notRun && this.lost === undefined && !binding.found) {
            return forCaller(cause, requestCodes.outcomeUnknown);
        }
        return { ...cause, code: unknownCode(cause), retryAfter: undefined };
    }

    private retry(cause: Failure, target: string, unfunded: boolean): number | undefined {
        const { binding, retryBudget } = this.options;
        const runnerFailed = binding?.target !== undefined && binding.target === target;
        if (runnerFailed || !mayGoElsewhere(cause)) {
            return undefined;
        }
        if (!unfunded && !retryBudget.spend(cause.code.execution === "not run" ? "refused" : "failed")) {
            return undefined;
        }
        this.exclude.add(target);
        return this.again(cause);
    }

    private again(cause: Failure): number | undefined {
        if (this.retries + 1 >= this.options.maxAttempts) {
            return undefined;
        }
        this.retries++;
        this.options.onRetry(cause);
        return this.retries === 1 ? 0 : this.options.retryBudget.backoff(this.retries - 1);
    }
}

/** What the caller of a request that is not idempotent is told when it may have run. */
function unknownCode(cause: Failure): Failure["code"] {
    const { cancelled, deadlineExceeded, inProgress } = requestCodes;
    const kept: readonly Failure["code"][] = [cancelled, deadlineExceeded, inProgress];
    return kept.includes(cause.code) ? cause.code : requestCodes.outcomeUnknown;
}
