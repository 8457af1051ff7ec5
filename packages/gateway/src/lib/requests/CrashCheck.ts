import { type CrashGuard, safeReplyAge } from "../crashes/CrashGuard.js";
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

/** The lowest status of a final reply that is no success. */
export const firstFailure = 300;

/** A send to a target. */
export interface Send {
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
            this.options.context.guard.watch("retrial", this.requestRetrial(send, onRefused));
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

    /**
     * Records that a reply has ended. A reply with an error status tells nothing: its target may have failed before it
     * began to run the request.
     *
     * @param isWhole - False if the end of the connection is all that tells so: the target may have crashed soon after
     * the start of the reply.
     */
    noteEnd(send: Send, status: number, isWhole: boolean): void {
        const { clock } = this.options.context;
        if (status >= firstFailure) {
            return;
        }
        if (isWhole || (send.repliedAt !== undefined && clock.now() - send.repliedAt >= safeReplyAge)) {
            this.noteSuccess();
        }
        else {
            this.detectCrash(send);
        }
    }

    /** Records that a send ended without a reply, or was interrupted by its target. */
    noteFailure(send: Send, neverSent: boolean): void {
        if (!neverSent) {
            this.detectCrash(send);
        }
        else if (this.isGranted) {
            this.guard.giveBack(this.causes);
        }
    }

    /** Records that a send that was permitted is not made, so that its retrial may be used again. */
    noteUnsent(): void {
        if (this.isGranted) {
            this.isGranted = false;
            this.guard.giveBack(this.causes);
        }
    }

    /** Releases the turn when no run is in flight any more. */
    end(): void {
        this.isGranted = false;
        if (this.hasTurn) {
            this.hasTurn = false;
            this.guard.endTurn();
        }
    }

    private detectCrash({ target, startedAt, repliedAt }: Send): void {
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
