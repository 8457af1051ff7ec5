import { type CrashGuard, type HoldBack } from "../crashes/CrashGuard.js";

/** Options of {@link CrashCheck}. */
export interface CrashCheckOptions {
    readonly guard: CrashGuard;
    readonly digest: string;
    /** Whether the request has its answer, or its caller has left. */
    readonly isOver: () => boolean;
    /** Whether it could be sent now, if it is allowed: a suspect's run is not used up for nothing. */
    readonly canSend: () => boolean;
}

/** Sees to it, before each send of one request, that it is not one which crashes its targets. */
export class CrashCheck {
    private hasTurn = false;
    private hasRunWell = false;

    constructor(private readonly options: CrashCheckOptions) {}

    /** Whether it may be sent without further ado. */
    get isFree(): boolean {
        const { guard, digest } = this.options;
        return guard.standing(digest) === "free";
    }

    /** Calls one of both: to send the request, now or when it is its turn, or to say why it is not sent. */
    pass(send: () => void, holdBack: (why: HoldBack) => void): void {
        const { guard, digest } = this.options;
        this.end();
        const standing = guard.standing(digest);
        if (standing === "free") {
            send();
        }
        else if (standing === "condemned") {
            holdBack(guard.condemned);
        }
        else {
            void this.retry(send, holdBack);
        }
    }

    /** A run of the request goes well. */
    noteWell(): void {
        if (!this.hasRunWell) {
            this.hasRunWell = true;
            this.options.guard.noteWell(this.options.digest);
            this.end();
        }
    }

    /** No run is under way any more. */
    end(): void {
        if (this.hasTurn) {
            this.hasTurn = false;
            this.options.guard.endTurn();
        }
    }

    private async retry(send: () => void, holdBack: (why: HoldBack) => void): Promise<void> {
        const { guard, digest, isOver, canSend } = this.options;
        const why = await guard.requestRetrial(digest, () => !isOver() && canSend());
        this.hasTurn = why === undefined;
        if (isOver()) {
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
