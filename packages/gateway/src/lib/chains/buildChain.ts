import { type Engine } from "../configuration/Configuration.js";
import { addressOf, type LayerRange, type Target } from "../directory/Target.js";
import { type Hop } from "../requests/messages.js";
import { type Chain } from "./Chain.js";
import { hopCost } from "./planLayers.js";

/**
 * Finds the fastest chain through targets of one data centre. Ranges of targets may overlap; a hop runs only the part of
 * its range that the hops before it left.
 *
 * @returns Undefined when the targets do not hold all layers.
 */
export function buildChain(dataCentre: string, targets: readonly Target[], engine: Engine): Chain | undefined {
    const factors = new Map(engine.accelerators.map(({ name, stepFactor }) => [name, stepFactor]));
    const holders = targets.filter(target => target.layers !== undefined);
    /** The cheapest way to have run all layers before the index. */
    const best: (Step | undefined)[] = [{ cost: 0 }];
    for (let layer = 0; layer < engine.layers; layer++) {
        const reached = best[layer];
        if (reached === undefined) {
            continue;
        }
        for (const target of holders) {
            const layers = target.layers;
            if (layers === undefined || layers.first > layer || layers.end <= layer || isUsed(reached, target)) {
                continue;
            }
            const factor = factors.get(target.accelerator ?? "") ?? 1;
            for (let end = layer + 1; end <= Math.min(layers.end, engine.layers); end++) {
                const cost = reached.cost + hopCost + factor * (end - layer) / engine.layers;
                const known = best[end];
                if (known === undefined || cost < known.cost) {
                    best[end] = { cost, before: reached, target, layers: { first: layer, end } };
                }
            }
        }
    }
    const hops = collectHops(best[engine.layers]);
    if (hops.length === 0) {
        return undefined;
    }
    const key = hops.map(({ targetId, layers }) => `${targetId}:${layers.first}-${layers.end}`).join(",");
    return { key, dataCentre, hops };
}

interface Step {
    readonly cost: number;
    readonly before?: Step;
    readonly target?: Target;
    readonly layers?: LayerRange;
}

function isUsed(step: Step, target: Target): boolean {
    for (let at: Step | undefined = step; at !== undefined; at = at.before) {
        if (at.target === target) {
            return true;
        }
    }
    return false;
}

function collectHops(last: Step | undefined): Hop[] {
    const hops: Hop[] = [];
    for (let step = last; step?.target !== undefined && step.layers !== undefined; step = step.before) {
        hops.unshift({ targetId: step.target.id, address: addressOf(step.target), layers: step.layers });
    }
    return hops;
}
