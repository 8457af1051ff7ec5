import { type AgentContext } from "../AgentContext.js";

/**
 * Measures one stream: the time to its first token and between later ones, in milliseconds.
 *
 * @internal
 */
export class TokenTimes {
    private startedAt = 0;
    private firstAt: number | undefined;
    private lastAt = 0;
    private tokens = 0;

    constructor(private readonly context: Pick<AgentContext, "clock" | "load" | "queue" | "metrics">) {}

    /** Milliseconds since the work started. */
    get elapsed(): number {
        return this.context.clock.now() - this.startedAt;
    }

    start(): void {
        this.startedAt = this.context.clock.now();
    }

    /** Takes the arrival of a token. */
    token(): void {
        const { clock, load, queue, metrics } = this.context;
        const now = clock.now();
        if (this.firstAt === undefined) {
            this.firstAt = now;
            queue.observe(now - this.startedAt, undefined);
            metrics.firstToken?.(now - this.startedAt);
        }
        else {
            load.observeInterval(now - this.lastAt);
            metrics.tokenInterval?.(now - this.lastAt);
        }
        this.lastAt = now;
        this.tokens++;
    }

    /** Tells the queue how long the stream took. */
    finish(): void {
        if (this.firstAt !== undefined && this.tokens > 1) {
            this.context.queue.observe(undefined, (this.lastAt - this.firstAt) / (this.tokens - 1));
        }
    }
}
