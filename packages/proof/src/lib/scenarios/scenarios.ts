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

/** Every scenario, the one without faults first. @internal */
export const scenarios: readonly Scenario[] = [
    baseline,
    ...processScenarios,
    ...networkScenarios,
    ...storeScenarios,
    operatorsRace,
    chaos,
];

/** Runs of planned changes, which belong to no failure and are run by their names alone. */
const plannedChanges: readonly Scenario[] = [rollout];

/** @internal */
export function findScenario(name: string): Scenario | undefined {
    return [...scenarios, ...plannedChanges].find(scenario => scenario.name === name);
}
