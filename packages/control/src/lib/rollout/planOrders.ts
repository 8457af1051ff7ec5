import { findHeld, stageLayers, type WantedLayers } from "./holdings.js";
import { type Leftover, type SiteOrder, type SitePlacement, type SiteTarget, type SiteView } from "./SiteView.js";

/** A pipeline whose missing stages are at most one in so many goes before others. */
const urgentPart = 4;

/** Layers that a target is to hold, and why. */
interface Need extends WantedLayers {
    readonly urgent: boolean;
}

/** @internal */
export interface OrderPlan {
    readonly orders: readonly SiteOrder[];
    readonly leftovers: readonly Leftover[];
}

/**
 * Compares what targets hold with what placements and pins want of them. Only targets with a report under the present
 * fence get orders.
 *
 * @param kept - The placements that stay.
 * @internal
 */
export function planOrders(view: SiteView, kept: readonly SitePlacement[]): OrderPlan {
    const needs = collectNeeds(view, kept);
    // What is dropped now stays needed until its removal has been accepted.
    const allNeeds = collectNeeds(view, view.placements);
    const orders: SiteOrder[] = [];
    const leftovers: Leftover[] = [];
    for (const target of view.targets.values()) {
        if (target.alive && target.observation !== undefined && target.spec.service === undefined) {
            const wanted = needs.get(target.name) ?? [];
            const unneeded = findLeftovers(target, allNeeds.get(target.name) ?? []);
            leftovers.push(...unneeded);
            orders.push(...roleOrder(target, allNeeds.has(target.name)));
            orders.push(...wanted.flatMap(need => needOrders(target, need, unneeded, view)));
        }
    }
    return { orders, leftovers };
}

function collectNeeds(view: SiteView, kept: readonly SitePlacement[]): Map<string, Need[]> {
    const needs = new Map<string, Need[]>();
    const add = (target: string, need: Need) => {
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
        // A pipeline that lacks little is being repaired, or nearly done.
        const urgent = missing.length <= Math.ceil(spec.stages.length / urgentPart);
        for (const stage of spec.stages) {
            add(stage.target, { ...stageLayers(placement, stage), urgent });
        }
    }
    return needs;
}

/** Model versions on a target of which nothing is needed, or only ranges that it does not hold whole. */
function findLeftovers(target: SiteTarget, needs: readonly Need[]): Leftover[] {
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
    // The prefill role is set by operators at the engine itself; a target in use keeps its role until it is idle.
    if (current === role || current === "prefill" || (role === "idle" && inUse)) {
        return [];
    }
    return [{ target: target.name, action: { kind: "setRole", role }, urgent: true, fits: true }];
}

function needOrders(
    target: SiteTarget,
    need: Need,
    leftovers: readonly Leftover[],
    view: SiteView,
): SiteOrder[] {
    const held = findHeld(target, need);
    if (held !== undefined) {
        return adapterOrders(target, need, held.adapters, view);
    }
    const { model, version, first, last, urgent } = need;
    const layerBytes = view.models.find(({ name }) => name === model)?.spec.layerBytes ?? 0;
    const bytes = (last - first + 1) * layerBytes;
    // An engine unloads a version as a whole, so a wrong range must go before the right one comes.
    if (leftovers.some(other => other.model === model && other.version === version)) {
        return [];
    }
    // Where nothing is left to go and nothing else loads, the engine itself decides whether there is room.
    const isQuiet = leftovers.length === 0 && target.settled;
    const fits = isQuiet || bytes <= (target.observation?.info.freeMemory ?? 0);
    const action = { kind: "load" as const, model, version, first, last, bytes };
    return [{ target: target.name, action, urgent, fits }];
}

function adapterOrders(target: SiteTarget, need: Need, held: readonly string[], view: SiteView): SiteOrder[] {
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
