import { type Clock } from "@waxwingspar/utils";

/** Result of waiting for a turn. */
export type TurnResult =
    /** The caller has the turn. */
    | "taken"
    /** The caller needs no turn any more. */
    | "released"
    /** The wait took too long. */
    | "timeout";

interface Waiting {
    readonly causes: readonly string[];
    readonly mayTake: boolean;
    readonly settle: (result: TurnResult) => void;
}

/** A queue in which one request at a time has the turn, and the others wait for a limited time. */
export class Turns {
    private isTaken = false;
    private readonly waiting = new Set<Waiting>();

    /** @param timeout - Longest wait in milliseconds. */
    constructor(private readonly clock: Clock, private readonly timeout: number) {}

    /** Waits for the turn of a request with some causes, unless it is released first. */
    take(causes: readonly string[]): Promise<TurnResult> {
        if (!this.isTaken) {
            this.isTaken = true;
            return Promise.resolve("taken");
        }
        return this.wait(causes, true);
    }

    /** Waits until a request is released, without taking the turn. */
    waitForRelease(causes: readonly string[]): Promise<Exclude<TurnResult, "taken">> {
        return this.wait(causes, false) as Promise<Exclude<TurnResult, "taken">>;
    }

    /** Ends the turn, which passes on to the request that has waited longest. */
    end(): void {
        const next = [...this.waiting].find(({ mayTake }) => mayTake);
        this.isTaken = next !== undefined;
        next?.settle("taken");
    }

    /** Releases all waiting requests that meet a condition. */
    releaseIf(isReleased: (causes: readonly string[]) => boolean): void {
        for (const waiting of [...this.waiting]) {
            if (isReleased(waiting.causes)) {
                waiting.settle("released");
            }
        }
    }

    private wait(causes: readonly string[], mayTake: boolean): Promise<TurnResult> {
        return new Promise(resolve => {
            const waiting: Waiting = {
                causes,
                mayTake,
                settle: result => {
                    timer.cancel();
                    this.waiting.delete(waiting);
                    resolve(result);
                },
            };
            const timer = this.clock.schedule(() => waiting.settle("timeout"), this.timeout);
            this.waiting.add(waiting);
        });
    }
}
