import { type Engine } from "../configuration/Configuration.js";
import { type Target } from "../directory/Target.js";
import { allMechanisms, type MechanismSwitch } from "../Mechanisms.js";
import { addStandbys } from "./addStandbys.js";
import { type Card, rankCards } from "./cards.js";
import { closeGaps } from "./closeGaps.js";
import { type Placement } from "./Placement.js";
import { shiftRanges } from "./shiftRanges.js";

/**
 * Plans which layers the targets of one data centre hold: one whole copy on the fastest accelerators, and standbys that
 * hold a second copy of some ranges on what is left.
 */

/**
 * Requests for whose KV cache every target of a new chain keeps room, tried in this order; the last is the least. The first two
 * are for data centres with more memory than one chain of usual room needs: there requests, not losses, take it up. On two
 * played days with 20 targets a data centre the mean worth was 0.327 with room for 80, and 0.467 with these and shorter heartbeats. A target takes no
 * more than 134 requests as the first of a chain, so more would be of no use. 80 is a little below ample room, so that some
 * targets are left for second copies and lost ranges: means of 15 played days 0.680, with room for 96 0.666
 * (and two smaller changes between them).
 */
const newChainLevels: readonly { readonly level: number; readonly spare: number; }[] = [
    { level: 128, spare: 0.3 },
    { level: 96, spare: 0.3 },
    ...[80, 56, 40, 24, 12].map(level => ({ level, spare: 0 })),
];
/** The same for chains that are repaired. */
const repairLevels = [80, 56, 40, 24, 12];

/** What a plan must not touch, or may. */
export interface PlanOptions {
    /** Ids of targets that requests are on: they give up no layers, which would take until the last of these has ended. */
    readonly inUse?: ReadonlySet<string>;
    /** Whether borders between ranges may be moved when nothing else helps. Default true. */
    readonly mayShift?: boolean;
    readonly isOn?: MechanismSwitch;
}

/**
 * Plans one data centre. What targets hold already stays where it can, since every load takes seconds.
 *
 * @param targets - Its targets that are ready and believed to be well.
 * @returns What every planned target should hold; targets that are not named keep what they hold. Empty when the targets
 * cannot hold all layers.
 */
export function planLayers(targets: readonly Target[], engine: Engine, options: PlanOptions = {}): Placement[] {
    const { inUse = new Set(), mayShift = true, isOn = allMechanisms } = options;
    const kept = keepRanges(targets, engine);
    const tries = kept.length === 0
        ? newChainLevels.filter(step => hasSpare(targets, engine, step)).map(({ level }) => ({ level, plan: planAnew }))
        : repairs.filter(({ plan }) => plan === shiftRanges ? mayShift : plan === fillGaps || isOn("neighbours"));
    const idle = targets.filter(target =>
        !inUse.has(target.id) && kept.every(placement => placement.target !== target)
    );
    for (const { level, plan } of tries) {
        const filled = plan(kept, rankCards(idle, engine, level), engine, level);
        if (filled !== undefined) {
            return isOn("second-copies") ? addStandbys(filled, targets, engine, level) : filled;
        }
    }
    return [];
}

/** Whether targets with so much room hold a whole copy and a share of another one. */
function hasSpare(
    targets: readonly Target[],
    engine: Engine,
    step: { readonly level: number; readonly spare: number; },
): boolean {
    const capacity = rankCards(targets, engine, step.level).reduce((sum, card) => sum + card.capacity, 0);
    return capacity >= engine.layers * (1 + step.spare);
}

/** Makes placements out of what is kept and cards that are free. @returns Undefined when they do not suffice. */
type Planner = (
    kept: readonly Placement[],
    cards: readonly Card[],
    engine: Engine,
    concurrency: number,
) => Placement[] | undefined;

const fillGaps: Planner = (kept, cards, engine, concurrency) =>
    closeGaps("cardsFirst", kept, cards, engine, concurrency);
const extendNeighbours: Planner = (kept, cards, engine, concurrency) =>
    closeGaps("neighboursFirst", kept, cards, engine, concurrency);
/** Gives the layers to the cheapest cards that suffice, each filled up. */
const planAnew: Planner = (_kept, cards, engine, concurrency) => fillGaps([], cards, engine, concurrency);

/**
 * The ways to repair a data centre, the best first. Filling gaps with idle targets disturbs no request and takes 1.2 to 1.8 s
 * (reckoned from the load time). Shifted ranges make targets give up layers, and they load new ones only once the streams
 * under way have ended: 5.1 to 9.4 s on played days. So room goes down to the least before ranges are shifted: the router
 * sends fewer requests, and second copies relieve.
 */
const repairs: readonly { readonly level: number; readonly plan: Planner; }[] = [
    ...repairLevels.flatMap(level => [{ level, plan: fillGaps }, { level, plan: extendNeighbours }]),
    ...repairLevels.slice(1).map(level => ({ level, plan: shiftRanges })),
];

/** Of the ranges that are held, those of the chain that leaves the fewest layers uncovered with the fewest targets. */
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
