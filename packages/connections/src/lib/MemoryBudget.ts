import { type Clock } from "@waxwingspar/utils";

/** Options of {@link MemoryBudget}. @public */
export interface MemoryBudgetOptions {
    readonly clock: Pick<Clock, "now">;
    /** Maximum bytes that all holdings may have together. */
    readonly maxBytes: number;
}

/** Options of a {@link Holding}. @public */
export interface HoldingOptions {
    /** Whether the next move is the client's. The connection is closed to make room only then. */
    readonly isClientDue: () => boolean;
    /** Closes the connection. @returns True if it stays open, with what it still holds, for requests that run. */
    readonly close: () => boolean | void;
}

/** Bytes that a client must send or take to count as moving; fewer than that would let a trickle pass for progress. */
const progressStep = 16_384;

/**
 * What one connection holds in the memory of this process.
 *
 * @public
 */
export class Holding {
    /** Bytes that are counted. */
    bytes = 0;
    /** Time on the clock at which the client last made progress. */
    movedAt: number;
    private moved = 0;

    /** @internal */
    constructor(private readonly clock: Pick<Clock, "now">, readonly options: HoldingOptions) {
        this.movedAt = clock.now();
    }

    /** Records that the client has sent or taken bytes. */
    move(bytes: number): void {
        this.moved += bytes;
        if (this.moved >= progressStep) {
            this.noteProgress();
        }
    }

    /** Records that a request or an answer is complete. */
    noteProgress(): void {
        this.moved = 0;
        this.movedAt = this.clock.now();
    }
}

/**
 * Bounds the memory that clients occupy together. When it is used up, the connection that holds the most for the longest
 * time without progress is closed, provided that its client is the one to move; if there is none, nothing more is held.
 *
 * @public
 */
export class MemoryBudget {
    private readonly holdings = new Set<Holding>();
    private total = 0;

    constructor(private readonly options: MemoryBudgetOptions) {}

    /** Bytes that are held by all connections together. */
    get used(): number {
        return this.total;
    }

    /** Begins to count for a connection. */
    open(options: HoldingOptions): Holding {
        const holding = new Holding(this.options.clock, options);
        this.holdings.add(holding);
        return holding;
    }

    /**
     * Counts bytes that are about to be held, and makes room for them.
     *
     * @returns False if there is no room, or the connection itself is the one to be closed; nothing was counted then.
     */
    reserve(holding: Holding, bytes: number): boolean {
        if (!this.holdings.has(holding) || !this.makeRoom(bytes, holding)) {
            return false;
        }
        holding.bytes += bytes;
        this.total += bytes;
        return true;
    }

    /** Counts bytes that are held already, such as those of an answer, and closes connections until all fit again. */
    add(holding: Holding, bytes: number): void {
        if (this.holdings.has(holding)) {
            holding.bytes += bytes;
            this.total += bytes;
            this.makeRoom(0);
        }
    }

    release(holding: Holding, bytes: number): void {
        if (this.holdings.has(holding)) {
            holding.bytes -= bytes;
            this.total -= bytes;
        }
    }

    /** Releases all that a connection holds, and counts no further bytes for it. */
    close(holding: Holding): void {
        if (this.holdings.delete(holding)) {
            this.total -= holding.bytes;
            holding.bytes = 0;
        }
    }

    private makeRoom(bytes: number, requester?: Holding): boolean {
        const kept = new Set<Holding>();
        while (this.total + bytes > this.options.maxBytes) {
            const victim = this.findVictim(bytes, requester, kept);
            if (victim === undefined || victim === requester) {
                return false;
            }
            if (victim.options.close() === true) {
                kept.add(victim);
            }
            else {
                this.close(victim);
            }
        }
        return true;
    }

    /** The connection with the most byte-milliseconds since its last progress. */
    private findVictim(bytes: number, requester: Holding | undefined, kept: ReadonlySet<Holding>): Holding | undefined {
        const now = this.options.clock.now();
        let victim: Holding | undefined;
        let most = 0;
        for (const holding of this.holdings) {
            const held = holding === requester ? holding.bytes + bytes : holding.bytes;
            const weight = held * (now - holding.movedAt + 1);
            if (weight > most && !kept.has(holding) && holding.options.isClientDue()) {
                victim = holding;
                most = weight;
            }
        }
        return victim;
    }
}
