import { type Failure, resourceCodes } from "@waxwingspar/utils";
import { type Resource } from "../resources/Resource.js";
import { fieldFailure, type ResourceView, type Rule } from "./ResourceFailure.js";

const { insufficientCapacity } = resourceCodes;

/**
 * The declared targets must have memory for all replicas of a model in addition to the other models. The rule is
 * checked when a model changes, not when a target is removed, because operators must always be able to declare that a
 * target is gone.
 *
 * @internal
 */
export const modelCapacity: Rule<"model"> = ({ spec }, view) => {
    const targets = view.list("target").filter(target => target.spec.service === undefined);
    const places = sum(targets.map(target => Math.floor(target.spec.accelerator.memory / spec.layerBytes)));
    const wanted = spec.layers * spec.replicas;
    if (places < wanted) {
        const message = `the replicas need ${wanted} layers, but the declared targets have memory for ${places}`;
        return [fieldFailure(insufficientCapacity, "spec.replicas", message)];
    }
    const memory = sum(targets.map(target => target.spec.accelerator.memory));
    const demand = sum(view.list("model").map(modelBytes));
    return demand <= memory
        ? []
        : [fieldFailure(
            insufficientCapacity,
            "spec.replicas",
            `all models together need ${demand} bytes, but the declared targets have ${memory}`,
        )];
};

/**
 * The layers pinned to a target must fit into its memory.
 *
 * @internal
 */
export const heldCapacity: Rule<"target"> = ({ spec }, view) => {
    let used = 0;
    return spec.holds.flatMap((held, index): Failure[] => {
        used += rangeBytes(view, held.model, held.first, held.last);
        return used <= spec.accelerator.memory ? [] : [tooLarge(`spec.holds.${index}`, used, spec.accelerator.memory)];
    });
};

/**
 * Each stage of a placement must fit into the memory of its target.
 *
 * @internal
 */
export const stageCapacity: Rule<"placement"> = ({ spec }, view) =>
    spec.stages.flatMap((stage, index): Failure[] => {
        const memory = view.get("target", stage.target)?.spec.accelerator.memory;
        const used = rangeBytes(view, spec.model, stage.first, stage.last);
        return memory === undefined || used <= memory ? [] : [tooLarge(`spec.stages.${index}`, used, memory)];
    });

function modelBytes({ spec }: Resource<"model">): number {
    return spec.layers * spec.layerBytes * spec.replicas;
}

function rangeBytes(view: ResourceView, model: string, first: number, last: number): number {
    const layerBytes = view.get("model", model)?.spec.layerBytes ?? 0;
    return Math.max(0, last - first + 1) * layerBytes;
}

function tooLarge(path: string, used: number, memory: number): Failure {
    return fieldFailure(
        insufficientCapacity,
        path,
        `${used} bytes of weights do not fit ${memory} bytes of memory`,
    );
}

function sum(numbers: readonly number[]): number {
    return numbers.reduce((total, number) => total + number, 0);
}
