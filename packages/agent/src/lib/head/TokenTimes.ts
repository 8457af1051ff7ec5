import { type AgentContext } from "../AgentContext.js";

/**
 * Measures the time to the first token and the intervals between tokens of one stream, in milliseconds.
 *
 * @internal
 */
export class TokenTimes {
    private startedAt = 0;
    /** When the last token arrived, or when the caller last accepted tokens again after a pause. */
    private lastAt: number | undefined;

    constructor(private readonly context: Pick<AgentContext, "clock" | "load" | "queue" | "metrics">) {}

    /** Milliseconds since the work started. */
    get elapsed(): number {
        return this.context.clock.now() - this.startedAt;
    }

    start(): void {
        this.startedAt = this.context.clock.now();
    }

    /** Restarts the interval once a slow caller accepts tokens again; the pause does not reflect the target's speed. */
    resume(): void {
        this.lastAt = this.context.clock.now();
    }

    /** Records the arrival of a token. */
    token(): void {
        const { clock, load, queue, metrics } = this.context;
        const now = clock.now();
        if (this.lastAt === undefined) {
            const duration = now - this.startedAt;
            queue.observe(duration, undefined);
            metrics.firstToken?.(duration);
        }
        else {
            const interval = now - this.lastAt;
            queue.observe(undefined, interval);
            load.observeInterval(interval);
            metrics.tokenInterval?.(interval);
        }
        this.lastAt = now;
    }
}
