/** Number of requests without an answer that a target may have at the beginning of its recovery. */
const firstWindow = 1;
/** Milliseconds after which one more request may begin although the earlier ones have no answer: they may never get one. */
const answerPatience = 1_000;
/** Window at which a target has recovered. */
const recoveredWindow = 32;

/**
 * Limits the unanswered requests to a target after its rest, as a sender limits the packets in flight after a loss: the
 * window doubles with each round of accepted requests, up to half of what was unanswered when the target last refused,
 * and then grows by one a round.
 */
export class Recovery {
    private window = firstWindow;
    private doublingEnd = recoveredWindow;
    private unanswered = 0;
    private begunAt = -Infinity;

    /** @param now - The time on the clock. */
    mayBegin(now: number): boolean {
        return this.unanswered < this.window || now - this.begunAt >= answerPatience;
    }

    get isOver(): boolean {
        return this.window >= recoveredWindow;
    }

    /** Records that a request is sent. */
    begin(now: number): void {
        this.unanswered++;
        this.begunAt = now;
    }

    /** Records the answer to a request, or that there will be none. Of refusals in a row only the first one counts. */
    end(result: "accepted" | "refused" | "unanswered"): void {
        this.unanswered--;
        if (result === "accepted") {
            this.window += this.window < this.doublingEnd ? 1 : 1 / this.window;
        }
        else if (result === "refused" && this.window > firstWindow) {
            const reached = Math.min(this.window, this.unanswered + 1);
            this.doublingEnd = Math.max(firstWindow, reached / 2);
            this.window = firstWindow;
        }
    }
}
