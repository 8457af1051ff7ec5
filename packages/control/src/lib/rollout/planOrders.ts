import { findHeld, stageLayers, type WantedLayers } from "./holdings.js";
import {
    type SiteOrder,
    type SitePlacement,
    type SiteTarget,
    type SiteView,
    type UnneededVersion,
} from "./SiteView.js";

/** Loads are urgent for a pipeline that lacks at most one in this many of its stages, rounded up. */
const urgentStageDivisor = 4;

/** Layers that a target is to hold, and whether loading them is urgent. */
interface LayerNeed extends WantedLayers {
    readonly urgent: boolean;
}

/** @internal */
export interface OrderPlan {
    readonly orders: readonly SiteOrder[];
    readonly unneededVersions: readonly UnneededVersion[];
}

/**
 * Compares the layers that targets hold with those that placements and pins require, and derives the orders. Only
 * targets with a report under the current fence get orders.
 *
 * @param kept - The placements that are kept.
 * @internal
 */
export function planOrders(view: SiteView, kept: readonly SitePlacement[]): OrderPlan {
    const needs = collectNeeds(view, kept);
    // The layers of a dropped placement stay needed until its removal has been accepted.
    const allNeeds = collectNeeds(view, view.placements);
    const orders: SiteOrder[] = [];
    const unneededVersions: UnneededVersion[] = [];
    for (const target of view.targets.values()) {
        if (target.alive && target.observation !== undefined && target.spec.service === undefined) {
            const wanted = needs.get(target.name) ?? [];
            const unneeded = findUnneededVersions(target, allNeeds.get(target.name) ?? []);
            unneededVersions.push(...unneeded);
            orders.push(...roleOrder(target, allNeeds.has(target.name)));
            orders.push(...wanted.flatMap(need => needOrders(target, need, unneeded, view)));
        }
    }
    return { orders, unneededVersions };
}

function collectNeeds(view: SiteView, kept: readonly SitePlacement[]): Map<string, LayerNeed[]> {
    const needs = new Map<string, LayerNeed[]>();
    const add = (target: string, need: LayerNeed) => {
        const list = needs.get(target);
        if (list === undefined) {
            needs.set(target, [need]);
        }
        else {
            list.push(need);
        }
    };
    for (const target of view.targets.values()) {
        target.spec.holds.forEach(held => add(target.name, { ...held, urgent: false }));
    }
    for (const placement of kept) {
        const { spec } = placement;
        const missing = spec.stages.filter(stage => {
            const target = view.targets.get(stage.target);
            return target === undefined || findHeld(target, stageLayers(placement, stage)) === undefined;
        });
        // A pipeline that lacks few stages is under repair or nearly loaded.
        const urgent = missing.length <= Math.ceil(spec.stages.length / urgentStageDivisor);
        for (const stage of spec.stages) {
            add(stage.target, { ...stageLayers(placement, stage), urgent });
        }
    }
    return needs;
}

/** Finds the held model versions of which no layers are needed, or only ranges that the target does not fully hold. */
function findUnneededVersions(target: SiteTarget, needs: readonly LayerNeed[]): UnneededVersion[] {
    const held = target.observation?.info.held ?? [];
    const versions = new Map(held.map(({ model, version }) => [JSON.stringify([model, version]), { model, version }]));
    return [...versions.values()]
        .filter(({ model, version }) => {
            const wanted = needs.filter(need => need.model === model && need.version === version);
            return !wanted.some(need => findHeld(target, need) !== undefined);
        })
        .map(({ model, version }) => ({ target: target.name, model, version }));
}

function roleOrder(target: SiteTarget, isUsed: boolean): SiteOrder[] {
    const role = isUsed ? "serving" : "idle";
    const current = target.observation?.info.role;
    const inUse = (target.observation?.inUse.length ?? 0) > 0;
    // Operators set the prefill role on the engine itself. A target in use keeps its role until no request uses it.
    if (current === role || current === "prefill" || (role === "idle" && inUse)) {
        return [];
    }
    return [{ target: target.name, action: { kind: "setRole", role }, urgent: true, fits: true }];
}

function needOrders(
    target: SiteTarget,
    need: LayerNeed,
    unneededVersions: readonly UnneededVersion[],
    view: SiteView,
): SiteOrder[] {
    const held = findHeld(target, need);
    if (held !== undefined) {
        return adapterOrders(target, need, held.adapters, view);
    }
    const { model, version, first, last, urgent } = need;
    const layerBytes = view.models.find(({ name }) => name === model)?.spec.layerBytes ?? 0;
    const bytes = (last - first + 1) * layerBytes;
    // An engine can only unload a whole version, so a wrong range must be unloaded before the right one is loaded.
    if (unneededVersions.some(other => other.model === model && other.version === version)) {
        return [];
    }
    // If nothing is to be unloaded and no order is in flight, the engine decides whether the memory suffices.
    const isIdle = unneededVersions.length === 0 && target.settled;
    const fits = isIdle || bytes <= (target.observation?.info.freeMemory ?? 0);
    const action = { kind: "load" as const, model, version, first, last, bytes };
    return [{ target: target.name, action, urgent, fits }];
}

function adapterOrders(target: SiteTarget, need: LayerNeed, held: readonly string[], view: SiteView): SiteOrder[] {
    const { model, version } = need;
    const wanted = view.adapters
        .filter(({ spec }) => spec.model === model && spec.versions.includes(version))
        .map(({ name }) => name);
    const order = (kind: "loadAdapter" | "unloadAdapter", adapter: string): SiteOrder => (
        { target: target.name, action: { kind, model, version, adapter }, urgent: false, fits: true }
    );
    return [
        ...wanted.filter(name => !held.includes(name)).map(name => order("loadAdapter", name)),
        ...held.filter(name => !wanted.includes(name)).map(name => order("unloadAdapter", name)),
    ];
}
