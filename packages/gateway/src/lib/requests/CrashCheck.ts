import { type CrashGuard, type HoldBack } from "../crashes/CrashGuard.js";
import { type Target } from "../directory/Target.js";
import { type CallerExchange } from "./CallerExchange.js";
import { type RequestContext } from "./RequestContext.js";

/** Options of {@link CrashCheck}. */
export interface CrashCheckOptions {
    readonly context: RequestContext;
    readonly caller: CallerExchange;
    /** Whether it could be sent now, if it is allowed: a suspect's run is not used up for nothing. */
    readonly canSend: () => boolean;
}

/** A send that its target cut off. */
export interface CutSend {
    readonly target: Target;
    /** When it began, on the clock. */
    readonly startedAt: number;
    /** When its reply began, for a stream with its first event; undefined when it had not. */
    readonly repliedAt: number | undefined;
}

/** Sees to it, before each send of one request, that it is not one which crashes its targets. */
export class CrashCheck {
    private hasTurn = false;
    private hasRunWell = false;

    constructor(private readonly options: CrashCheckOptions) {}

    /** Whether it may be sent without further ado. */
    get isFree(): boolean {
        return this.guard.standing(this.digest) === "free";
    }

    /** Calls one of both: to send the request, now or when it is its turn, or to say why it is not sent. */
    pass(send: () => void, holdBack: (why: HoldBack) => void): void {
        this.end();
        const standing = this.guard.standing(this.digest);
        if (standing === "free") {
            send();
        }
        else if (standing === "condemned") {
            holdBack(this.guard.condemned);
        }
        else {
            void this.retry(send, holdBack);
        }
    }

    /** A run of the request goes well. */
    noteWell(): void {
        if (!this.hasRunWell) {
            this.hasRunWell = true;
            this.guard.noteWell(this.digest);
            this.end();
        }
    }

    /** A target cut a run off. */
    noteCut({ target, startedAt, repliedAt }: CutSend): void {
        const { context, caller } = this.options;
        const now = context.clock.now();
        context.crashes.watch.runCut({
            request: caller.request.id,
            digest: caller.digest,
            target,
            after: now - startedAt,
            replyAge: repliedAt === undefined ? undefined : now - repliedAt,
        });
    }

    /** No run is under way any more. */
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

    private async retry(send: () => void, holdBack: (why: HoldBack) => void): Promise<void> {
        const { caller, canSend } = this.options;
        const why = await this.guard.requestRetrial(this.digest, () => !caller.ended && canSend());
        this.hasTurn = why === undefined;
        if (caller.ended) {
            this.end();
        }
        else if (why === undefined) {
            send();
        }
        else {
            holdBack(why);
        }
    }
}
