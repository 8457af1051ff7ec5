import { type Failure, resourceCodes } from "@waxwingspar/utils";
import { type LayerRange } from "./LayerRange.js";
import { fieldFailure, type Rule } from "./ResourceFailure.js";
import { ViewIndex } from "./ViewIndex.js";

const { invalidField, layerGap, layerOverlap } = resourceCodes;

/**
 * The stages of a placement must cover each layer exactly once, in order.
 *
 * @internal
 */
export const placementLayers: Rule<"placement"> = ({ spec }, view) => {
    const layers = view.get("model", spec.model)?.spec.layers;
    if (layers === undefined) {
        return [];
    }
    const failures = spec.stages.flatMap((stage, index) => rangeFailures(stage, layers, `spec.stages.${index}`));
    let next = 0;
    spec.stages.forEach((stage, index) => {
        failures.push(...boundaryFailures(stage.first, next, `spec.stages.${index}.first`));
        next = stage.last + 1;
    });
    if (next < layers) {
        failures.push(gap(`spec.stages.${spec.stages.length - 1}.last`, next, layers - 1));
    }
    return failures;
};

/**
 * The ranges pinned to a target must lie within the model and must not overlap.
 *
 * @internal
 */
export const heldLayers: Rule<"target"> = ({ spec }, view) =>
    spec.holds.flatMap((held, index) => {
        const path = `spec.holds.${index}`;
        const layers = view.get("model", held.model)?.spec.layers;
        const failures = layers === undefined ? [] : rangeFailures(held, layers, path);
        const overlapping = spec.holds.slice(0, index).find(other =>
            other.model === held.model && other.version === held.version
            && other.first <= held.last && held.first <= other.last
        );
        if (overlapping !== undefined) {
            const message =
                `layers ${held.first} to ${held.last} overlap layers ${overlapping.first} to ${overlapping.last}`;
            failures.push(fieldFailure(layerOverlap, `${path}.first`, message));
        }
        return failures;
    });

/**
 * If operators pin a model version and no target is left for the placement to fill, the pinned ranges alone must form a
 * complete pipeline: contiguous ranges from the first layer to the last.
 *
 * @internal
 */
export const pinnedPipeline: Rule<"target"> = (target, view) => {
    const index = ViewIndex.of(view);
    if (index.hasFreeTarget) {
        return [];
    }
    return target.spec.holds.flatMap((held, position) => {
        const layers = view.get("model", held.model)?.spec.layers;
        const ranges = index.pins(held.model, held.version);
        return layers === undefined ? [] : coverageFailures(ranges, layers, `spec.holds.${position}`);
    });
};

/** Requires that some of the ranges, sorted by first layer, cover all layers without a gap or an overlap. */
function coverageFailures(ranges: readonly LayerRange[], layers: number, path: string): Failure[] {
    let covered = 0;
    const reached = new Set([0]);
    for (const range of ranges) {
        if (range.first > covered) {
            return [gap(path, covered, range.first - 1)];
        }
        covered = Math.max(covered, range.last + 1);
        if (reached.has(range.first)) {
            reached.add(range.last + 1);
        }
    }
    if (covered < layers) {
        return [gap(path, covered, layers - 1)];
    }
    return reached.has(layers)
        ? []
        : [fieldFailure(layerOverlap, path, "the pinned ranges cover all layers, but only with overlaps")];
}

function rangeFailures({ first, last }: LayerRange, layers: number, path: string): Failure[] {
    if (last < first) {
        return [
            fieldFailure(
                invalidField,
                `${path}.last`,
                `the range ends at layer ${last}, before its first layer ${first}`,
            ),
        ];
    }
    return last < layers
        ? []
        : [fieldFailure(invalidField, `${path}.last`, `the model has layers 0 to ${layers - 1}, not ${last}`)];
}

function boundaryFailures(first: number, expected: number, path: string): Failure[] {
    if (first > expected) {
        return [gap(path, expected, first - 1)];
    }
    return first === expected
        ? []
        : [fieldFailure(layerOverlap, path, `layer ${first} was already covered; ${expected} comes next`)];
}

function gap(path: string, first: number, last: number): Failure {
    return fieldFailure(layerGap, path, `layers ${first} to ${last} are not covered`);
}
