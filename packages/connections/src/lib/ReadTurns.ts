import { type Clock } from "@waxwingspar/utils";

/** A connection with bytes that have been received and not parsed. */
export interface UnreadConnection {
    /** Parses some of them. */
    readOn(): void;
}

/** Milliseconds of one turn of the event loop in which connections with much to read are read further. */
const maxTurnTime = 10;

/**
 * Lets connections with much to read take turns, so that the bytes of all of them together delay other work by some
 * milliseconds only, however much work they make.
 *
 * @public
 */
export class ReadTurns {
    private readonly waiting = new Set<UnreadConnection>();
    private isScheduled = false;

    constructor(private readonly clock: Pick<Clock, "now">) {}

    /** Lets a connection read on in one of the next turns. */
    expect(connection: UnreadConnection): void {
        this.waiting.add(connection);
        this.schedule();
    }

    forget(connection: UnreadConnection): void {
        this.waiting.delete(connection);
    }

    private schedule(): void {
        if (!this.isScheduled) {
            this.isScheduled = true;
            setImmediate(() => this.run(this.clock.now() + maxTurnTime));
        }
    }

    private run(until: number): void {
        const [next] = this.waiting;
        if (next === undefined) {
            this.isScheduled = false;
        }
        else if (this.clock.now() >= until) {
            this.isScheduled = false;
            this.schedule();
        }
        else {
            this.waiting.delete(next);
            next.readOn();
            // A connection reads on when its socket has resumed, which is queued before this.
            process.nextTick(() => this.run(until));
        }
    }
}
