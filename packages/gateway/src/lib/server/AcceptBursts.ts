import { callEach } from "./callEach.js";
import { type AfterInput, TurnEnd } from "./TurnEnd.js";

/** Options of {@link AcceptBursts}. */
export interface AcceptBurstsOptions {
    readonly afterInput?: AfterInput;
}

/** Maximum number of connections that are accepted in a row while other input waits: some 10 ms of processor time. */
const maxBurst = 64;

/**
 * Lets other input wait while connections are accepted. Node accepts one connection in each turn of the event loop, so
 * that connections wait as long as turns last: behind a hundred running streams, a crowd of callers would be accepted so
 * slowly that they have given up by then. A turn that accepts a connection is followed by short ones until none waits.
 */
export class AcceptBursts {
    private accepted = 0;
    private hasAccepted = false;
    private readonly waiting: (() => void)[] = [];
    private readonly turnEnd: TurnEnd;

    constructor({ afterInput }: AcceptBurstsOptions = {}) {
        this.turnEnd = new TurnEnd(() => this.endTurn(), afterInput);
    }

    /** Whether further connections may wait, so that other input is to be kept for {@link AcceptBursts.whenOver}. */
    get isActive(): boolean {
        return this.accepted > 0;
    }

    /** Records that a connection has been accepted. */
    noteConnection(): void {
        this.accepted++;
        this.hasAccepted = true;
        this.turnEnd.expect();
    }

    /** Calls a function when the present burst is over. */
    whenOver(callback: () => void): void {
        this.waiting.push(callback);
    }

    private endTurn(): void {
        if (this.hasAccepted && this.accepted < maxBurst) {
            this.hasAccepted = false;
            this.turnEnd.expect();
            return;
        }
        this.accepted = 0;
        this.hasAccepted = false;
        callEach(this.waiting.splice(0));
    }
}
