import { type PlacementModel, type PlacementTarget } from "./Pipeline.js";
import { type CostOptions, hopTime, layerRoom } from "./stageTime.js";

interface Group {
    readonly members: PlacementTarget[];
    speed: number;
    room: number;
}

/**
 * Divides targets into groups for one pipeline each. Targets on links of one class stay together, since a pipeline with
 * one slow link is slow as a whole. Within a class, speed and memory are balanced: in each round the group that is
 * poorest so far gets the best target left.
 *
 * @param count - How many groups are wanted; fewer come back if memory is too short.
 * @returns Groups whose memory is enough for the model.
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
    let tier: PlacementTarget[] = [];
    const classes = linkClasses(targets, model, costs);
    for (const [index, members] of classes.entries()) {
        tier = [...tier, ...members];
        const isLast = index === classes.length - 1;
        const whole = Math.min(count - groups.length, isLast ? tier.length : Math.floor(tier.length / size));
        if (whole > 0) {
            const taken = isLast ? tier.length : Math.round(whole * size);
            groups.push(...deal(tier.slice(0, taken), whole, model));
            tier = tier.slice(taken);
        }
    }
    balanceMemory(groups, model);
    return keepWhole(groups, tier, count, model);
}

/** The targets by the class of their link, the fastest class first; a class spans a factor of two. */
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

function deal(targets: readonly PlacementTarget[], count: number, model: PlacementModel): Group[] {
    const groups = Array.from({ length: count }, (): Group => ({ members: [], speed: 0, room: 0 }));
    const meanSpeed = sum(targets, target => target.speed) / targets.length;
    const meanRoom = Math.max(1, sum(targets, target => layerRoom(target, model)) / targets.length);
    const worth = (speed: number, room: number) => speed / meanSpeed + room / meanRoom;
    const sorted = [...targets].sort((a, b) =>
        worth(b.speed, layerRoom(b, model)) - worth(a.speed, layerRoom(a, model)) || (a.name < b.name ? -1 : 1)
    );
    for (let next = 0; next < sorted.length; next += count) {
        groups.sort((a, b) => worth(a.speed, a.room) - worth(b.speed, b.room));
        sorted.slice(next, next + count).forEach((target, index) => add(groups[index], target, model));
    }
    return groups;
}

function add(group: Group | undefined, target: PlacementTarget, model: PlacementModel): void {
    group?.members.push(target);
    recount(group, model);
}

function recount(group: Group | undefined, model: PlacementModel): void {
    if (group !== undefined) {
        group.speed = sum(group.members, target => target.speed);
        group.room = sum(group.members, target => layerRoom(target, model));
    }
}

/** Swaps targets from the groups with most memory into those that are short of it. */
function balanceMemory(groups: readonly Group[], model: PlacementModel): void {
    const short = groups.filter(group => group.room < model.layers);
    const rich = groups.filter(group => group.room > model.layers).sort((a, b) => b.room - a.room);
    for (const poor of short) {
        for (const donor of rich) {
            while (poor.room < model.layers && swapOne(poor, donor, model)) {
                // Each swap moves memory to the poor group, so this ends.
            }
        }
    }
}

/** Exchanges the smallest target of one group for the largest of another, if the donor can spare the difference. */
function swapOne(poor: Group, donor: Group, model: PlacementModel): boolean {
    const room = (target: PlacementTarget) => layerRoom(target, model);
    const smallest = poor.members.reduce((best, target) => room(target) < room(best) ? target : best);
    const largest = donor.members.reduce((best, target) => room(target) > room(best) ? target : best);
    const gain = room(largest) - room(smallest);
    if (gain <= 0 || donor.room - gain < model.layers) {
        return false;
    }
    poor.members.splice(poor.members.indexOf(smallest), 1, largest);
    donor.members.splice(donor.members.indexOf(largest), 1, smallest);
    recount(poor, model);
    recount(donor, model);
    return true;
}

/** Keeps the groups with enough memory, and forms as many as possible from the others and the targets left over. */
function keepWhole(
    groups: readonly Group[],
    leftOver: readonly PlacementTarget[],
    count: number,
    model: PlacementModel,
): PlacementTarget[][] {
    const whole = groups.filter(group => group.room >= model.layers).map(group => group.members);
    const rest = groups.filter(group => group.room < model.layers).flatMap(group => group.members).concat(leftOver);
    rest.sort((a, b) => b.memory - a.memory || (a.name < b.name ? -1 : 1));
    let group: PlacementTarget[] = [];
    for (const target of rest) {
        group.push(target);
        if (whole.length < count && sum(group, member => layerRoom(member, model)) >= model.layers) {
            whole.push(group);
            group = [];
        }
    }
    return whole;
}

function sum<T>(items: readonly T[], measure: (item: T) => number): number {
    return items.reduce((total, item) => total + measure(item), 0);
}
