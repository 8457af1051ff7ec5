import { type PlacementModel, type PlacementTarget } from "./Pipeline.js";
import { type CostOptions, hopTime, layerCapacity } from "./stageTime.js";

interface Group {
    readonly members: PlacementTarget[];
    speed: number;
    /** Number of layers of the model that fit the memory of the members. */
    room: number;
}

/**
 * Divides targets into groups of one pipeline each. Targets whose links are of similar speed are grouped together,
 * since one slow link slows a whole pipeline down. Within a link class, speed and memory are balanced: in each round
 * the group with the lowest score gets the best remaining target.
 *
 * @param count - Number of groups wanted; fewer are returned if memory does not suffice.
 * @returns Groups that each have enough memory for the model.
 * @internal
 */
export function groupTargets(
    targets: readonly PlacementTarget[],
    count: number,
    model: PlacementModel,
    costs: CostOptions,
): PlacementTarget[][] {
    const size = targets.length / count;
    const groups: Group[] = [];
    let pool: PlacementTarget[] = [];
    const classes = linkClasses(targets, model, costs);
    for (const [index, members] of classes.entries()) {
        pool = [...pool, ...members];
        const isLast = index === classes.length - 1;
        const whole = Math.min(count - groups.length, isLast ? pool.length : Math.floor(pool.length / size));
        if (whole > 0) {
            const taken = isLast ? pool.length : Math.round(whole * size);
            groups.push(...distribute(pool.slice(0, taken), whole, model));
            pool = pool.slice(taken);
        }
    }
    balanceMemory(groups, model);
    return formCompleteGroups(groups, pool, count, model);
}

/** Groups targets by the class of their link, fastest class first. A class spans a factor of two in transfer time. */
function linkClasses(
    targets: readonly PlacementTarget[],
    model: PlacementModel,
    costs: CostOptions,
): PlacementTarget[][] {
    const classes = new Map<number, PlacementTarget[]>();
    for (const target of targets) {
        const number = Math.round(Math.log2(Math.max(hopTime(target, model, costs), costs.layerTime)));
        classes.set(number, [...classes.get(number) ?? [], target]);
    }
    return [...classes].sort(([a], [b]) => a - b).map(([, members]) => members);
}

function distribute(targets: readonly PlacementTarget[], count: number, model: PlacementModel): Group[] {
    const groups = Array.from({ length: count }, (): Group => ({ members: [], speed: 0, room: 0 }));
    const meanSpeed = sum(targets, target => target.speed) / targets.length;
    const meanRoom = Math.max(1, sum(targets, target => layerCapacity(target, model)) / targets.length);
    const score = (speed: number, room: number) => speed / meanSpeed + room / meanRoom;
    const sorted = [...targets].sort((a, b) =>
        score(b.speed, layerCapacity(b, model)) - score(a.speed, layerCapacity(a, model)) || (a.name < b.name ? -1 : 1)
    );
    for (let next = 0; next < sorted.length; next += count) {
        groups.sort((a, b) => score(a.speed, a.room) - score(b.speed, b.room));
        sorted.slice(next, next + count).forEach((target, index) => add(groups[index], target, model));
    }
    return groups;
}

function add(group: Group | undefined, target: PlacementTarget, model: PlacementModel): void {
    group?.members.push(target);
    updateTotals(group, model);
}

function updateTotals(group: Group | undefined, model: PlacementModel): void {
    if (group !== undefined) {
        group.speed = sum(group.members, target => target.speed);
        group.room = sum(group.members, target => layerCapacity(target, model));
    }
}

/** Swaps targets from the groups with the most memory into those that have too little. */
function balanceMemory(groups: readonly Group[], model: PlacementModel): void {
    const short = groups.filter(group => group.room < model.layers);
    const rich = groups.filter(group => group.room > model.layers).sort((a, b) => b.room - a.room);
    for (const poor of short) {
        for (const donor of rich) {
            while (poor.room < model.layers && swapOne(poor, donor, model)) {
                // Each swap adds memory to the poor group, so the loop terminates.
            }
        }
    }
}

/** Swaps the smallest target of one group for the largest of another, if the donor still fits the model afterwards. */
function swapOne(poor: Group, donor: Group, model: PlacementModel): boolean {
    const room = (target: PlacementTarget) => layerCapacity(target, model);
    const smallest = poor.members.reduce((best, target) => room(target) < room(best) ? target : best);
    const largest = donor.members.reduce((best, target) => room(target) > room(best) ? target : best);
    const gain = room(largest) - room(smallest);
    if (gain <= 0 || donor.room - gain < model.layers) {
        return false;
    }
    poor.members.splice(poor.members.indexOf(smallest), 1, largest);
    donor.members.splice(donor.members.indexOf(largest), 1, smallest);
    updateTotals(poor, model);
    updateTotals(donor, model);
    return true;
}

/** Keeps the groups with enough memory, and forms as many as possible from the other groups and unassigned targets. */
function formCompleteGroups(
    groups: readonly Group[],
    unassigned: readonly PlacementTarget[],
    count: number,
    model: PlacementModel,
): PlacementTarget[][] {
    const whole = groups.filter(group => group.room >= model.layers).map(group => group.members);
    const rest = groups.filter(group => group.room < model.layers).flatMap(group => group.members).concat(unassigned);
    rest.sort((a, b) => b.memory - a.memory || (a.name < b.name ? -1 : 1));
    let group: PlacementTarget[] = [];
    for (const target of rest) {
        group.push(target);
        if (whole.length < count && sum(group, member => layerCapacity(member, model)) >= model.layers) {
            whole.push(group);
            group = [];
        }
    }
    return whole;
}

function sum<T>(items: readonly T[], measure: (item: T) => number): number {
    return items.reduce((total, item) => total + measure(item), 0);
}
