import { type AgentContext } from "../AgentContext.js";

/**
 * Measures one stream: the time to its first token and between later ones, in milliseconds.
 *
 * @internal
 */
export class TokenTimes {
    private startedAt = 0;
    /** When the last token came, or the caller began to take tokens again. */
    private lastAt: number | undefined;

    constructor(private readonly context: Pick<AgentContext, "clock" | "load" | "queue" | "metrics">) {}

    /** Milliseconds since the work started. */
    get elapsed(): number {
        return this.context.clock.now() - this.startedAt;
    }

    start(): void {
        this.startedAt = this.context.clock.now();
    }

    /** A caller who was slow takes tokens again; the time in between says nothing about the target. */
    resume(): void {
        this.lastAt = this.context.clock.now();
    }

    /** Takes the arrival of a token. */
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
