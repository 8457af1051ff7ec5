import { type Clock } from "@waxwingspar/utils";
import { type Observation } from "../observation/Observation.js";

/** Options of {@link CallerLinkMonitor}. */
export interface CallerLinkMonitorOptions {
    readonly clock: Clock;
    readonly observation: Observation;
}

/** Milliseconds until a chunk is flushed from which its answer counts as delayed: callers notice such a pause. */
const delayThreshold = 200;
/** Delayed answers within the window from which the link counts as congested. A single one may have a slow caller. */
const minDelayedAnswers = 3;
/** Milliseconds for which a delayed answer counts. The link has recovered when none is left in this window. */
const window = 2_000;

/** Detects that answers are delayed by this host's own network link and not by a target. */
export class CallerLinkMonitor {
    /** Time of the last delayed chunk, by answer. */
    private readonly delayedAnswers = new Map<unknown, number>();
    private isCongested = false;

    constructor(private readonly options: CallerLinkMonitorOptions) {}

    /** Records the milliseconds until a chunk was flushed. Any unique value may identify the answer. */
    recordWait(answer: unknown, wait: number): void {
        const now = this.options.clock.now();
        if (wait >= delayThreshold) {
            this.delayedAnswers.set(answer, now);
        }
        for (const [held, at] of this.delayedAnswers) {
            if (at < now - window) {
                this.delayedAnswers.delete(held);
            }
        }
        this.updateState(wait);
    }

    private updateState(wait: number): void {
        const { metrics, logs } = this.options.observation;
        if (!this.isCongested && this.delayedAnswers.size >= minDelayedAnswers) {
            this.isCongested = true;
            metrics.slowLinks.add({});
            logs.process.warn({ answers: this.delayedAnswers.size, wait: Math.round(wait) }, "link to callers is full");
        }
        else if (this.isCongested && this.delayedAnswers.size === 0) {
            this.isCongested = false;
            logs.process.info("link to callers has recovered");
        }
    }
}
