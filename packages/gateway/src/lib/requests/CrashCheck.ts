import { type CrashGuard, type CrashRefusal } from "../crashes/CrashGuard.js";
import { type Target } from "../directory/Target.js";
import { type CallerExchange } from "./CallerExchange.js";
import { type RequestContext } from "./RequestContext.js";

/** Options of {@link CrashCheck}. */
export interface CrashCheckOptions {
    readonly context: RequestContext;
    readonly caller: CallerExchange;
    /** Whether the request could be sent now if permitted, so that no retrial is used up without a run. */
    readonly canSend: () => boolean;
}

/** A send that was interrupted by its target. */
export interface InterruptedSend {
    readonly target: Target;
    /** Start time on the clock. */
    readonly startedAt: number;
    /** Time of the start of the reply, for a stream of its first event; undefined if there was none. */
    readonly repliedAt: number | undefined;
}

/** Checks before each send of one request that the request is not known to crash its targets. */
export class CrashCheck {
    /** True while this request occupies the guard's turn, which lets one suspect run at a time. */
    private hasTurn = false;
    private hasSucceeded = false;

    constructor(private readonly options: CrashCheckOptions) {}

    /** Whether the request may be sent without a retrial. */
    get isUnsuspected(): boolean {
        return this.guard.getStatus(this.digest) === "free";
    }

    /** Calls either `send`, possibly after waiting for a turn, or `onRefused` with the reason for not sending. */
    checkBeforeSend(send: () => void, onRefused: (refusal: CrashRefusal) => void): void {
        this.end();
        const requestStatus = this.guard.getStatus(this.digest);
        if (requestStatus === "free") {
            send();
        }
        else if (requestStatus === "condemned") {
            onRefused(this.guard.condemned);
        }
        else {
            void this.requestRetrial(send, onRefused);
        }
    }

    /** Records that a run of the request is succeeding. */
    noteSuccess(): void {
        if (!this.hasSucceeded) {
            this.hasSucceeded = true;
            this.guard.recordSuccess(this.digest);
            this.end();
        }
    }

    /** Records that a run was interrupted by its target. */
    noteInterrupted({ target, startedAt, repliedAt }: InterruptedSend): void {
        const { context, caller } = this.options;
        const now = context.clock.now();
        context.crashes.detector.handleInterruptedRun({
            request: caller.request.id,
            digest: caller.digest,
            causes: caller.crashCauses,
            target,
            after: now - startedAt,
            replyAge: repliedAt === undefined ? undefined : now - repliedAt,
        });
    }

    /** Releases the turn when no run is in flight any more. */
    end(): void {
        if (this.hasTurn) {
            this.hasTurn = false;
            this.guard.endTurn();
        }
    }

    private get guard(): CrashGuard {
        return this.options.context.crashes.guard;
    }

    private get digest(): string {
        return this.options.caller.digest;
    }

    private async requestRetrial(send: () => void, onRefused: (refusal: CrashRefusal) => void): Promise<void> {
        const { caller, canSend } = this.options;
        const refusal = await this.guard.requestRetrial(this.digest, () => !caller.ended && canSend());
        this.hasTurn = refusal === undefined;
        if (caller.ended) {
            this.end();
        }
        else if (refusal === undefined) {
            send();
        }
        else {
            onRefused(refusal);
        }
    }
}
