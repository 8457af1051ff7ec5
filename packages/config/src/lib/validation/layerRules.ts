import { type Failure, resourceCodes } from "@waxwingspar/utils";
import { type LayerRange } from "./LayerRange.js";
import { fieldFailure, type Rule } from "./ResourceFailure.js";
import { ViewIndex } from "./ViewIndex.js";

const { invalidField, layerGap, layerOverlap } = resourceCodes;

/**
 * The stages of a placement must cover every layer once, in order.
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
        failures.push(...seamFailures(stage.first, next, `spec.stages.${index}.first`));
        next = stage.last + 1;
    });
    if (next < layers) {
        failures.push(gap(`spec.stages.${spec.stages.length - 1}.last`, next, layers - 1));
    }
    return failures;
};

/**
 * What a target holds must lie within the model, and no layer may be held twice.
 *
 * @internal
 */
export const heldLayers: Rule<"target"> = ({ spec }, view) =>
    spec.holds.flatMap((held, index) => {
        const path = `spec.holds.${index}`;
        const layers = view.get("model", held.model)?.spec.layers;
        const failures = layers === undefined ? [] : rangeFailures(held, layers, path);
        const twin = spec.holds.slice(0, index).find(other =>
            other.model === held.model && other.version === held.version
            && other.first <= held.last && held.first <= other.last
        );
        if (twin !== undefined) {
            const message = `layers ${held.first} to ${held.last} overlap layers ${twin.first} to ${twin.last}`;
            failures.push(fieldFailure(layerOverlap, `${path}.first`, message));
        }
        return failures;
    });

/**
 * When operators pin a model version and no target is left for the placement to fill, the pins alone must make a whole
 * pipeline: ranges that follow one another from the first layer to the last.
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
        return layers === undefined ? [] : chainFailures(ranges, layers, `spec.holds.${position}`);
    });
};

/** Ranges that cover every layer, but of which none continues another at the seam, overlap. */
function chainFailures(ranges: readonly LayerRange[], layers: number, path: string): Failure[] {
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
        : [fieldFailure(layerOverlap, path, "the pinned ranges cover the model but overlap at every seam")];
}

function rangeFailures({ first, last }: LayerRange, layers: number, path: string): Failure[] {
    if (last < first) {
        return [fieldFailure(invalidField, `${path}.last`, `the range ends at ${last}, before it begins at ${first}`)];
    }
    return last < layers
        ? []
        : [fieldFailure(invalidField, `${path}.last`, `the model has layers 0 to ${layers - 1}, not ${last}`)];
}

function seamFailures(first: number, expected: number, path: string): Failure[] {
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
