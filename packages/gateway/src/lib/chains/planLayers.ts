import { type Engine } from "../configuration/Configuration.js";
import { type Target } from "../directory/Target.js";
import { allMechanismsOn, type MechanismSwitch } from "../Mechanisms.js";
import { addFurtherChains, withPlacements } from "./addFurtherChains.js";
import { addStandbys } from "./addStandbys.js";
import { type Candidate, rankCandidates } from "./candidates.js";
import { fillGaps } from "./fillGaps.js";
import { type Placement } from "./Placement.js";
import { shiftRanges } from "./shiftRanges.js";

/**
 * Plans which layers the targets of one data centre hold: one complete copy on the fastest accelerators, and standbys
 * that hold a second copy of some ranges on the remaining targets.
 */

/**
 * Numbers of requests for whose KV cache every target of a new chain keeps memory free, tried in this order. The first
 * two apply to data centres with more memory than one chain of ordinary room needs, where load rather than loss of
 * targets is the limit. The first target of a chain accepts at most 134 requests, so higher levels gain nothing. 80 is
 * slightly below ample room, which leaves targets for standbys and lost ranges.
 */
const newChainLevels: readonly { readonly level: number; readonly spare: number; }[] = [
    { level: 128, spare: 0.3 },
    { level: 96, spare: 0.3 },
    ...[80, 56, 40, 24, 12].map(level => ({ level, spare: 0 })),
];
/** The same for repairs of existing chains. */
const repairLevels = [80, 56, 40, 24, 12];

/** Options of {@link planLayers}. */
export interface PlanOptions {
    /**
     * Ids of targets that serve requests. They keep all their layers, since a target gives up layers only after its
     * last request has ended.
     */
    readonly inUse?: ReadonlySet<string>;
    /** Whether boundaries between ranges may be moved when no other repair is possible. Default true. */
    readonly mayShift?: boolean;
    readonly isOn?: MechanismSwitch;
}

/**
 * Plans one data centre. Layers stay on the targets that hold them where possible, since loading layers takes seconds.
 *
 * @param targets - Targets of the data centre that are ready and not suspected.
 * @returns The layers of each planned target; targets without a placement keep their layers. Empty when the targets
 * cannot hold all layers.
 */
export function planLayers(targets: readonly Target[], engine: Engine, options: PlanOptions = {}): Placement[] {
    const { inUse = new Set(), mayShift = true, isOn = allMechanismsOn } = options;
    const kept = keepRanges(targets, engine);
    const attempts = kept.length === 0
        ? newChainLevels.filter(step => hasSpare(targets, engine, step)).map(({ level }) => ({
            level,
            plan: planFromScratch,
        }))
        : repairs.filter(({ plan }) =>
            plan === shiftRanges ? mayShift : plan === fillWithCandidates || isOn("neighbours")
        );
    const idle = targets.filter(target =>
        !inUse.has(target.id) && kept.every(placement => placement.target !== target)
    );
    for (const { level, plan } of attempts) {
        const filled = plan(kept, rankCandidates(idle, engine, level), engine, level);
        if (filled !== undefined) {
            return isOn("second-copies") ? addCopies(filled, targets, engine, { level, isOn }) : filled;
        }
    }
    return [];
}

/**
 * Adds further chains and standbys over targets without layers, until no such target is left or of use. A standby may
 * make a further chain possible over the targets that remain.
 */
function addCopies(
    filled: readonly Placement[],
    targets: readonly Target[],
    engine: Engine,
    { level, isOn }: { readonly level: number; readonly isOn: MechanismSwitch; },
): Placement[] {
    const copies: Placement[] = [];
    for (;;) {
        const chains = isOn("several-chains")
            ? addFurtherChains(withPlacements(targets, [...filled, ...copies]), engine)
            : [];
        const held = withPlacements(targets, [...copies, ...chains]);
        const kept = filled.map(({ target, layers }) => ({ target: held[targets.indexOf(target)] ?? target, layers }));
        const standbys = addStandbys(kept, held, engine, level).slice(filled.length);
        copies.push(...chains, ...standbys);
        if (chains.length + standbys.length === 0) {
            return [...filled, ...copies];
        }
    }
}

/** Whether the targets can hold a complete copy and the given share of a second one at this concurrency. */
function hasSpare(
    targets: readonly Target[],
    engine: Engine,
    step: { readonly level: number; readonly spare: number; },
): boolean {
    const capacity = rankCandidates(targets, engine, step.level).reduce(
        (sum, candidate) => sum + candidate.capacity,
        0,
    );
    return capacity >= engine.layers * (1 + step.spare);
}

/** Combines kept placements and candidates into a plan. @returns Undefined when they do not suffice. */
type Planner = (
    kept: readonly Placement[],
    candidates: readonly Candidate[],
    engine: Engine,
    concurrency: number,
) => Placement[] | undefined;

const fillWithCandidates: Planner = (kept, candidates, engine, concurrency) =>
    fillGaps("candidatesFirst", kept, candidates, engine, concurrency);
const extendNeighbours: Planner = (kept, candidates, engine, concurrency) =>
    fillGaps("neighboursFirst", kept, candidates, engine, concurrency);
/** Assigns all layers to the candidates with the lowest cost, each filled up to its capacity. */
const planFromScratch: Planner = (_kept, candidates, engine, concurrency) =>
    fillWithCandidates([], candidates, engine, concurrency);

/**
 * The repairs of a data centre in order of preference. Filling gaps with idle targets disturbs no request and takes 1.2
 * to 1.8 s. Shifting ranges makes targets give up layers, and they load new ones only after the streams in flight have
 * ended, which takes 5.1 to 9.4 s. So the concurrency is lowered to its minimum before ranges are shifted; the router
 * then sends fewer requests, and standbys take part of the load.
 */
const repairs: readonly { readonly level: number; readonly plan: Planner; }[] = [
    ...repairLevels.flatMap(level => [{ level, plan: fillWithCandidates }, { level, plan: extendNeighbours }]),
    ...repairLevels.slice(1).map(level => ({ level, plan: shiftRanges })),
];

/** Selects the held ranges that leave the fewest layers uncovered with the fewest targets, in order of their layers. */
function keepRanges(targets: readonly Target[], engine: Engine): Placement[] {
    const held = targets
        .flatMap(target => target.layers === undefined ? [] : [{ target, layers: target.layers }])
        .sort((a, b) => a.layers.first - b.layers.first || b.layers.end - a.layers.end);
    const kept: Placement[] = [];
    let covered = 0;
    while (covered < engine.layers) {
        const useful = held.filter(({ layers }) => layers.end > covered);
        const joining = useful.filter(({ layers }) => layers.first <= covered);
        const next = joining.length > 0
            ? joining.reduce((a, b) => b.layers.end > a.layers.end ? b : a)
            : useful[0];
        if (next === undefined) {
            break;
        }
        kept.push(next);
        covered = next.layers.end;
    }
    return kept;
}
