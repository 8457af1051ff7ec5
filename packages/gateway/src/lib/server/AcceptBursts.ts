/** Options of {@link AcceptBursts}. */
export interface AcceptBurstsOptions {
    /** Runs a callback after the input of the present turn of the event loop has been handled. */
    readonly afterInput?: (callback: () => void) => void;
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
    private isTurnEndDue = false;
    private readonly waiting: (() => void)[] = [];

    constructor(private readonly options: AcceptBurstsOptions = {}) {}

    /** Whether further connections may wait, so that other input is to be kept for {@link AcceptBursts.whenOver}. */
    get isActive(): boolean {
        return this.accepted > 0;
    }

    /** Records that a connection has been accepted. */
    noteConnection(): void {
        this.accepted++;
        this.hasAccepted = true;
        this.expectTurnEnd();
    }

    /** Calls a function when the present burst is over. */
    whenOver(callback: () => void): void {
        this.waiting.push(callback);
    }

    private expectTurnEnd(): void {
        if (!this.isTurnEndDue) {
            this.isTurnEndDue = true;
            (this.options.afterInput ?? setImmediate)(() => this.endTurn());
        }
    }

    private endTurn(): void {
        this.isTurnEndDue = false;
        if (this.hasAccepted && this.accepted < maxBurst) {
            this.hasAccepted = false;
            this.expectTurnEnd();
            return;
        }
        this.accepted = 0;
        this.hasAccepted = false;
        this.waiting.splice(0).forEach(callback => callback());
    }
}
