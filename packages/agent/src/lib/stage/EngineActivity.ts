import { type Clock } from "@waxwingspar/utils";

/**
 * When the engine last finished any step. A step that takes long while others finish means a busy engine, not one that
 * hangs; failing its attempts would move the load to other targets and make matters worse.
 *
 * @internal
 */
export class EngineActivity {
    private lastFinished = Number.NEGATIVE_INFINITY;

    constructor(private readonly clock: Clock) {}

    stepFinished(): void {
        this.lastFinished = this.clock.now();
    }

    /** Milliseconds since any step finished. */
    get idle(): number {
        return this.clock.now() - this.lastFinished;
    }
}
