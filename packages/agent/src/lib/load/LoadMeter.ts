import { type WorkQueue } from "@waxwingspar/policy";
import { type Link, type LoadReport } from "@waxwingspar/transport";
import { type Clock, type Timer } from "@waxwingspar/utils";
import { type LinkWatch } from "../LinkWatch.js";
import { type CacheReport } from "./CacheWatch.js";

/** The weight of one interval in the moving average. */
const weight = 1 / 32;

/** Approximate bytes of one report on a link, including framing and a target name of typical length. */
const reportBytes = 200;

/** @internal */
export interface LoadMeterOptions {
    readonly target: string;
    readonly clock: Clock;
    readonly queue: WorkQueue;
    readonly links: LinkWatch;
    /** Maximum number of concurrent requests. */
    readonly slots: () => number;
    /** Returns the part of reports that describes the prefix cache; omitted if absent. */
    readonly cache?: () => CacheReport;
    /** Minimum milliseconds between two reports on a link with open requests. */
    readonly interval: number;
    /**
     * Maximum bytes per second of separate reports over all links. With more links, each gets reports less often.
     * Reports that are part of answers need no message of their own and are not counted.
     */
    readonly bytesPerSecond: number;
}

/**
 * Measures the agent's load and reports it to entries: with each answer, and periodically on links with open requests.
 *
 * @internal
 */
export class LoadMeter {
    private interval = 0;
    private isLeaving = false;
    private readonly openRequests = new Map<Link, number>();
    private timer: Timer | undefined;

    constructor(private readonly options: LoadMeterOptions) {}

    get leaving(): boolean {
        return this.isLeaving;
    }

    /** Records the time between two tokens of one stream, in milliseconds. */
    observeInterval(duration: number): void {
        this.interval = this.interval === 0 ? duration : this.interval + (duration - this.interval) * weight;
    }

    report(): LoadReport {
        const { target, queue, slots, cache } = this.options;
        return {
            target,
            running: queue.running,
            queued: queue.queued,
            slots: slots(),
            tokenInterval: this.interval,
            firstTokenEstimate: queue.estimate(),
            leaving: this.isLeaving,
            ...cache?.(),
        };
    }

    /** Records that a request of this link is open here. The link gets reports until the request ends. */
    begin(link: Link): void {
        this.openRequests.set(link, (this.openRequests.get(link) ?? 0) + 1);
        this.scheduleReports();
    }

    /** Records that a request of this link has ended. */
    end(link: Link): void {
        const left = (this.openRequests.get(link) ?? 0) - 1;
        if (left > 0) {
            this.openRequests.set(link, left);
            return;
        }
        this.openRequests.delete(link);
    }

    /** Announces on every link that the target accepts no new work. */
    leave(): void {
        this.isLeaving = true;
        const load = this.report();
        for (const link of this.options.links.links) {
            link.send({ type: "load", load });
        }
    }

    stop(): void {
        this.timer?.cancel();
        this.timer = undefined;
        this.openRequests.clear();
    }

    private sendReports(): void {
        this.timer = undefined;
        if (this.openRequests.size === 0) {
            return;
        }
        const load = this.report();
        for (const link of this.openRequests.keys()) {
            link.send({ type: "load", load });
        }
        this.scheduleReports();
    }

    private scheduleReports(): void {
        const { clock, interval, bytesPerSecond } = this.options;
        const pacedInterval = this.openRequests.size * reportBytes / bytesPerSecond * 1000;
        this.timer ??= clock.schedule(() => this.sendReports(), Math.max(interval, pacedInterval));
    }
}
