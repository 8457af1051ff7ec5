import { checkHistory, type CheckOptions, type HistoryLine, readHistory } from "@waxwingspar/history";
import { plantedViolations } from "./plantedViolations.js";
import { type ScenarioCheck } from "./ScenarioResult.js";

/**
 * Plants one fault after the other into the history of a run and checks each changed history, to show that the check of
 * this run would have caught it.
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
    return plantedViolations.map(({ rule, description: what, apply }) => {
        const changed = apply(lines);
        const name = `planted fault of rule ${rule} is caught: ${what}`;
        if (changed === undefined) {
            return { name, holds: false, detail: "the history has no place for it" };
        }
        const { violated } = checkHistory(changed, options).rules[rule];
        return { name, holds: violated > 0, detail: `${violated} violations of the rule` };
    });
}
