/** Number of requests without an answer that a target may have at the beginning of its recovery. */
const firstWindow = 1;
/** Window at which a target has recovered. It doubles with each round of accepted requests. */
const recoveredWindow = 32;

/** Limits the unanswered requests to a target after its rest; each request that it accepts admits two more. */
export class Recovery {
    private window = firstWindow;
    private unanswered = 0;

    get mayBegin(): boolean {
        return this.unanswered < this.window;
    }

    get isOver(): boolean {
        return this.window >= recoveredWindow;
    }

    /** Records that a request is sent. */
    begin(): void {
        this.unanswered++;
    }

    /** Records the answer to a request, or that there will be none. */
    end(result: "accepted" | "refused" | "unanswered"): void {
        this.unanswered--;
        if (result === "accepted") {
            this.window++;
        }
        else if (result === "refused") {
            this.restart();
        }
    }

    /** Starts anew, because the target refused a request. */
    restart(): void {
        this.window = firstWindow;
    }
}
