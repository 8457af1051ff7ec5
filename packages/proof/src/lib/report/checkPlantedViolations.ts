import { checkHistory, type CheckOptions, type HistoryLine, readHistory } from "@waxwingspar/history";
import { plantedViolations } from "./plantedViolations.js";
import { type ScenarioCheck } from "./ScenarioResult.js";

/**
 * Checks copies of the history of a run, each with one planted violation, to verify that the checker would have detected
 * such a violation in this run.
 *
 * @internal
 */
export async function checkPlantedViolations(
    files: readonly string[],
    options: CheckOptions,
): Promise<ScenarioCheck[]> {
    const lines: HistoryLine[] = [];
    for (const file of files) {
        await readHistory(file, line => void lines.push(line));
    }
    return plantedViolations.map(({ rule, description, apply }) => {
        const changed = apply(lines);
        const name = `planted violation of rule ${rule} is detected: ${description}`;
        if (changed === undefined) {
            return { name, holds: false, detail: "the history has no line to plant it in" };
        }
        const { violated } = checkHistory(changed, options).rules[rule];
        return { name, holds: violated > 0, detail: `${violated} violations of the rule` };
    });
}
