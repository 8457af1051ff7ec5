import { type CrashGuard } from "../crashes/CrashGuard.js";
import { type CrashRefusal } from "../crashes/Retrial.js";
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

/** A send that ended without a complete reply. */
export interface FailedSend {
    readonly target: Target;
    /** Start time on the clock. */
    readonly startedAt: number;
    /** Time of the start of the reply, for a stream of its first event; undefined if there was none. */
    readonly repliedAt: number | undefined;
    /** Whether no byte can have reached the target. */
    readonly neverSent: boolean;
}

/** Checks before each send of one request that the request is not known to crash its targets. */
export class CrashCheck {
    /** True while this request occupies the guard's turn, which lets one suspect run at a time. */
    private hasTurn = false;
    /** True while a retrial is granted that has not ended. */
    private isGranted = false;
    private hasSucceeded = false;

    constructor(private readonly options: CrashCheckOptions) {}

    /** Whether the request may be sent without a retrial. */
    get isUnsuspected(): boolean {
        return this.guard.getStatus(this.causes) === "free";
    }

    /** Whether a send that was permitted, but has not begun, may still begin. */
    get maySend(): boolean {
        return this.isGranted || this.isUnsuspected;
    }

    /** Calls either `send`, possibly after waiting for a turn, or `onRefused` with the reason for not sending. */
    checkBeforeSend(send: () => void, onRefused: (refusal: CrashRefusal) => void): void {
        this.end();
        const requestStatus = this.guard.getStatus(this.causes);
        if (requestStatus === "free") {
            send();
        }
        else if (requestStatus === "condemned") {
            onRefused(this.guard.describeCondemned(this.causes));
        }
        else {
            void this.requestRetrial(send, onRefused);
        }
    }

    /** Records that a run of the request is succeeding. */
    noteSuccess(): void {
        if (!this.hasSucceeded) {
            this.hasSucceeded = true;
            this.guard.recordSuccess(this.causes);
            this.end();
        }
    }

    /** Records that a send ended without a reply, or was interrupted by its target. */
    noteFailure({ target, startedAt, repliedAt, neverSent }: FailedSend): void {
        if (neverSent) {
            this.returnRetrial();
            return;
        }
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
        this.isGranted = false;
        if (this.hasTurn) {
            this.hasTurn = false;
            this.guard.endTurn();
        }
    }

    private returnRetrial(): void {
        if (this.isGranted) {
            this.guard.giveBack(this.causes);
        }
    }

    private get guard(): CrashGuard {
        return this.options.context.crashes.guard;
    }

    private get causes(): readonly string[] {
        return this.options.caller.crashCauses;
    }

    private async requestRetrial(send: () => void, onRefused: (refusal: CrashRefusal) => void): Promise<void> {
        const { caller, canSend } = this.options;
        const retrial = await this.guard.requestRetrial(this.causes, () => !caller.ended && canSend());
        this.hasTurn = retrial.kind === "granted";
        this.isGranted = this.hasTurn;
        if (caller.ended) {
            this.end();
        }
        else if (retrial.kind === "refused") {
            onRefused(retrial.refusal);
        }
        else {
            send();
        }
    }
}
