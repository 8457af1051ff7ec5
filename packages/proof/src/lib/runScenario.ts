import { checkHistoryFiles, type CheckOptions, FileRecorder, type HistoryReport } from "@waxwingspar/history";
import { seededRandom, SystemClock, uniqueId } from "@waxwingspar/utils";
import { join } from "node:path";
import { setTimeout as pause } from "node:timers/promises";
import { Callers } from "./callers/Callers.js";
import { checkPlantedViolations } from "./report/checkPlantedViolations.js";
import { longestActivation } from "./report/longestActivation.js";
import { measureRecovery } from "./report/Recovery.js";
import { countCodes, countOutcomes, type ScenarioCheck, type ScenarioResult } from "./report/ScenarioResult.js";
import { type Scenario } from "./scenarios/Scenario.js";
import { fullSite, type LayoutOptions, planSite } from "./site/layout.js";
import { Site } from "./site/Site.js";

/** @public */
export interface RunOptions {
    readonly scenario: Scenario;
    readonly seed: number;
    /** Seconds for which callers send requests after the warm-up, at least. */
    readonly seconds: number;
    /** The existing folder for settings, logs and histories. */
    readonly folder: string;
    readonly layout?: LayoutOptions;
    readonly modelRate?: number;
    readonly serviceRate?: number;
    /** Whether to check copies of the history with planted violations, each of which must be detected. */
    readonly plantsViolations?: boolean;
}

/** Milliseconds for which callers send requests before the scenario starts. */
const warmUp = 7000;
const millisecondsPerSecond = 1000;
/** Requests per second. */
const defaultModelRate = 10;
/** Calls per second. */
const defaultServiceRate = 12;

/**
 * Runs one scenario on a site of real processes and checks the histories of all of them.
 *
 * @throws Error if the site cannot be started or a history file cannot be read.
 * @public
 */
export async function runScenario(options: RunOptions): Promise<ScenarioResult> {
    const { scenario, seed, seconds, folder, layout = fullSite } = options;
    const clock = new SystemClock();
    const random = seededRandom(seed);
    const site = new Site(await planSite(layout), folder);
    const cutShort = () => void site.destroy().then(() => process.exit(1));
    process.once("SIGTERM", cutShort);
    process.once("SIGINT", cutShort);
    try {
        await site.start();
        const baseRevision = await site.revision();
        const callersFile = join(folder, "callers.jsonl");
        const opened = await FileRecorder.open({
            clock,
            path: callersFile,
            process: "callers",
            incarnation: uniqueId(),
        });
        if (opened.isErr) {
            throw new Error(opened.error.message);
        }
        const callers = new Callers({
            clock,
            random,
            recorder: opened.value,
            origins: site.origins(),
            modelRate: options.modelRate ?? defaultModelRate,
            serviceRate: options.serviceRate ?? defaultServiceRate,
        });
        callers.start();
        await pause(warmUp);
        let fault = clock.now();
        const checks: ScenarioCheck[] = [];
        const duration = seconds * millisecondsPerSecond;
        const context = {
            site,
            clock,
            random,
            results: () => callers.results,
            markFault: () => void (fault = clock.now()),
            check: (check: ScenarioCheck) => void checks.push(check),
        };
        await Promise.all([scenario.run(context), pause(duration)]);
        const end = clock.now();
        await callers.finish();
        await opened.value.close();
        await site.stop();
        const files = [callersFile, ...site.historyFiles];
        const checkOptions = { baseRevision, configured: site.layout.daemons.map(({ name }) => name) };
        const history = await checkFiles(files, checkOptions);
        const planted = options.plantsViolations === true ? await checkPlantedViolations(files, checkOptions) : [];
        const staleOrders = await site.countStaleOrders();
        const recovery = measureRecovery(callers.results, fault, end);
        return {
            scenario: scenario.name,
            seed,
            outcomes: countOutcomes(callers.results),
            codes: countCodes(callers.results),
            repeated: callers.results.filter(({ attempts }) => attempts.length > 1).length,
            history,
            recovery,
            longestActivation: await longestActivation(files),
            staleOrders,
            checks: [...checks, stopCheck(site), ...staleCheck(scenario, staleOrders), ...planted],
        };
    }
    finally {
        process.off("SIGTERM", cutShort);
        process.off("SIGINT", cutShort);
        await site.destroy();
    }
}

async function checkFiles(files: readonly string[], options: CheckOptions): Promise<HistoryReport> {
    const report = await checkHistoryFiles(files, options);
    if (report.isErr) {
        throw new Error(report.error.message);
    }
    return report.value;
}

function staleCheck({ expectsStaleOrders = false }: Scenario, count: number): ScenarioCheck[] {
    const name = "targets rejected orders with a stale fencing token";
    return expectsStaleOrders ? [{ name, holds: count > 0, detail: String(count) }] : [];
}

function stopCheck({ failedStops }: Site): ScenarioCheck {
    return {
        name: "every planned stop exits with code 0 in time",
        holds: failedStops.length === 0,
        detail: failedStops.join("; "),
    };
}
