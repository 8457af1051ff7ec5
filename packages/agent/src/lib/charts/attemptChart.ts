import { readStateChart, StateChart } from "@waxwingspar/utils";

/** @internal */
export type AttemptState = "waiting" | "preparing" | "running" | "done" | "refused" | "failed" | "cancelled";

/** @internal */
export type AttemptEvent = "start" | "ready" | "finish" | "refuse" | "fail" | "cancel";

const definition = readStateChart<AttemptState, AttemptEvent>(new URL("./attempt.json", import.meta.url));

/** Creates the state chart of an attempt, used at the head and at later stages. @internal */
export function createAttemptChart(): StateChart<AttemptState, AttemptEvent> {
    return new StateChart(definition);
}
