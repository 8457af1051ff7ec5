import { chaos } from "./chaos.js";
import { networkScenarios } from "./networkScenarios.js";
import { operatorsRace } from "./operatorsRace.js";
import { processScenarios } from "./processScenarios.js";
import { rollout } from "./rollout.js";
import { type Scenario } from "./Scenario.js";
import { storeScenarios } from "./storeScenarios.js";

const baseline: Scenario = {
    name: "baseline",
    row: "no fault",
    summary: "no fault",
    run({ markFault }) {
        markFault();
        return Promise.resolve();
    },
};

/** All scenarios with a row in the failure table, preceded by a baseline without faults. @internal */
export const scenarios: readonly Scenario[] = [
    baseline,
    ...processScenarios,
    ...networkScenarios,
    ...storeScenarios,
    operatorsRace,
    chaos,
];

/** Scenarios of planned changes: they have no row in the failure table and run only when selected by name. */
const plannedChanges: readonly Scenario[] = [rollout];

/** @internal */
export function findScenario(name: string): Scenario | undefined {
    return [...scenarios, ...plannedChanges].find(scenario => scenario.name === name);
}
