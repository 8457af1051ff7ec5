import { checkHistoryFiles } from "@waxwingspar/history";
import { formatHistory } from "../demo/formatReport.js";
import { loadSettings } from "../settings/loadSettings.js";
import { type CommandOutput } from "./CommandOutput.js";
import { exitCodes } from "./exitCodes.js";
import { describeFailure } from "./runUntilSignal.js";

/**
 * Checks a settings file of any role.
 *
 * @returns The exit code.
 * @internal
 */
export async function checkSettingsCommand(file: string, output: CommandOutput): Promise<number> {
    const settings = await loadSettings(file);
    if (settings.isErr) {
        output.writeError(describeFailure("check settings", settings.error));
        return exitCodes.usage;
    }
    output.write(`${file}: settings of role ${settings.value.role}: ok\n`);
    return exitCodes.done;
}

/** Options of `waxwingspar check history`. @internal */
export interface CheckHistoryOptions {
    /** Processes that were killed, so that the last lines of their history may be missing. */
    readonly lost: readonly string[];
    /** Milliseconds within which an accepted revision must be in force. */
    readonly bound?: number;
    /** The last revision that was accepted before the history began. */
    readonly baseRevision?: number;
}

/**
 * Checks the history files of one run.
 *
 * @returns The exit code: 0 only if no rule is violated.
 * @internal
 */
export async function checkHistoryCommand(
    files: readonly string[],
    options: CheckHistoryOptions,
    output: CommandOutput,
): Promise<number> {
    const { lost, bound, baseRevision } = options;
    const report = await checkHistoryFiles(files, { lost, configurationBound: bound, baseRevision });
    if (report.isErr) {
        output.writeError(describeFailure("check history", report.error));
        return exitCodes.usage;
    }
    output.write(`${formatHistory(report.value)}\n`);
    return report.value.violations.length === 0 ? exitCodes.done : exitCodes.failed;
}
