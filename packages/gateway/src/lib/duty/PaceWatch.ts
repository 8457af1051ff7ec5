import { type Clock } from "@waxwingspar/utils";
import { type EngineControl } from "../chains/EngineControl.js";
import { type TargetPaces } from "../chains/TargetPaces.js";
import { type Target } from "../directory/Target.js";
import { type TargetDirectory } from "../directory/TargetDirectory.js";

/** Options of {@link PaceWatch}. */
export interface PaceWatchOptions {
    readonly clock: Clock;
    readonly directory: TargetDirectory;
    readonly paces: TargetPaces;
    readonly engines: EngineControl;
}

/**
 * Milliseconds between two reports of each target, which are billed. A slow target is detected after half of it on
 * average.
 */
const reportInterval = 4_000;
/** Timeout of a report, in milliseconds. */
const reportTimeout = 400;

/**
 * Periodically requests reports from the targets that serve requests, since slow targets do not announce it themselves.
 */
export class PaceWatch {
    private readonly requestedAt = new Map<string, number>();

    constructor(private readonly options: PaceWatchOptions) {}

    /** Requests a report from each of the targets whose last request is older than the report interval. */
    requestReports(ids: ReadonlySet<string>): void {
        const { clock, directory } = this.options;
        const now = clock.now();
        for (const id of ids) {
            const target = directory.get(id);
            if (target !== undefined && now - (this.requestedAt.get(id) ?? -Infinity) > reportInterval) {
                this.requestedAt.set(id, now);
                void this.observe(target);
            }
        }
        for (const id of this.requestedAt.keys()) {
            if (directory.get(id) === undefined) {
                this.requestedAt.delete(id);
            }
        }
    }

    private async observe(target: Target): Promise<void> {
        const { engines, paces, directory } = this.options;
        const report = await engines.fetchReport(target, reportTimeout);
        if (report !== undefined && directory.confirmsIncarnation(target, report.startedAt)) {
            paces.observe(target.id, report.slowdown);
        }
    }
}
