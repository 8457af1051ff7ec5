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
 * Milliseconds between two reports of each target. Chosen: a slow one is known in 2 s in the mean, and a day of 46 s costs
 * 0.001 of its worth in probes (reckoned from the price of 418 probes).
 */
const interval = 4_000;
/** Milliseconds that a report may take. */
const reportTimeout = 400;

/** Asks the targets that requests are on for reports now and then, since a slow one does not say so by itself. */
export class PaceWatch {
    private readonly askedAt = new Map<string, number>();

    constructor(private readonly options: PaceWatchOptions) {}

    /** Asks those of the targets that were not asked of late. */
    ask(ids: ReadonlySet<string>): void {
        const { clock, directory } = this.options;
        const now = clock.now();
        for (const id of ids) {
            const target = directory.get(id);
            if (target !== undefined && now - (this.askedAt.get(id) ?? -Infinity) > interval) {
                this.askedAt.set(id, now);
                void this.observe(target);
            }
        }
        for (const id of this.askedAt.keys()) {
            if (directory.get(id) === undefined) {
                this.askedAt.delete(id);
            }
        }
    }

    private async observe(target: Target): Promise<void> {
        const { engines, paces, directory } = this.options;
        const report = await engines.fetchReport(target, reportTimeout);
        if (report !== undefined && directory.confirmsStart(target, report.startedAt)) {
            paces.observe(target.id, report.slowdown);
        }
    }
}
