import { type LoadReport } from "@waxwingspar/transport";
import { failure, type Outcome, type Random, requestCodes } from "@waxwingspar/utils";
import { Result } from "true-myth";
import { type RoutedAttempt, type Router, type RouteRequest, type RoutingTarget } from "../lib/routing/Router.js";

/** Selects one of the usable targets of a stage. */
type TargetSelector = (usable: readonly RoutingTarget[]) => RoutingTarget;

/** A router that selects the target of each stage independently, by a simple rule, from those not leaving. */
class SimpleRouter implements Router {
    protected ranges: RoutingTarget[][] = [];
    private readonly leaving = new Set<string>();

    constructor(
        private readonly pick: TargetSelector,
        private readonly onReport: (load: LoadReport) => void = () => undefined,
    ) {}

    update(targets: readonly RoutingTarget[]): void {
        const firsts = [...new Set(targets.map(target => target.holds[0]!.first))].sort((a, b) => a - b);
        this.ranges = firsts.map(first => targets.filter(target => target.holds[0]!.first === first));
    }

    choose(request: RouteRequest): Outcome<RoutedAttempt> {
        const stages = [];
        for (const targets of this.ranges) {
            const usable = targets.filter(({ name }) => !this.leaving.has(name) && !request.exclude.has(name));
            if (usable.length === 0) {
                return Result.err(failure(requestCodes.noCapacity, "no usable target for a stage"));
            }
            const { name, host, port, holds } = this.pick(usable);
            stages.push({ target: name, host, port, first: holds[0]!.first, last: holds[0]!.last });
        }
        const ignore = () => undefined;
        return Result.ok({ stages, firstToken: ignore, token: ignore, end: ignore });
    }

    chooseService(): Outcome<RoutedAttempt> {
        return Result.err(failure(requestCodes.noCapacity, "services are not part of the benchmark"));
    }

    report(load: LoadReport): void {
        this.onReport(load);
    }

    setLeaving(target: string, leaving: boolean): void {
        if (leaving) {
            this.leaving.add(target);
        }
        else {
            this.leaving.delete(target);
        }
    }

    unreachable(): void {
        // A simple balancer relies on the live list.
    }

    cacheEvent(): void {
        // A simple balancer ignores caches.
    }
}

/** Selects targets at random, in proportion to their slots. @internal */
export function createRandomRouter(random: Random): Router {
    return new SimpleRouter(usable => {
        let drawn = random.next() * totalSlots(usable);
        return usable.find(target => (drawn -= target.slots) < 0) ?? usable[0]!;
    });
}

/**
 * Selects targets by smooth weighted round robin: each turn every target gains its slots as credit, and the target with
 * the highest credit is selected and pays the total of the slots.
 *
 * @internal
 */
export function createRoundRobinRouter(random: Random): Router {
    const credits = new Map<string, number>();
    const creditOf = (target: RoutingTarget) => credits.get(target.name) ?? random.next() * target.slots;
    return new SimpleRouter(usable => {
        usable.forEach(target => credits.set(target.name, creditOf(target) + target.slots));
        const selected = usable.reduce((best, target) => creditOf(target) > creditOf(best) ? target : best);
        credits.set(selected.name, creditOf(selected) - totalSlots(usable));
        return selected;
    });
}

function totalSlots(targets: readonly RoutingTarget[]): number {
    return targets.reduce((sum, target) => sum + target.slots, 0);
}

/** Selects the target with the lowest last reported load per slot, at random among equals. @internal */
export function createLeastLoadedRouter(random: Random): Router {
    const loads = new Map<string, number>();
    const loadOf = (target: RoutingTarget) => loads.get(target.name) ?? 0;
    const pick: TargetSelector = usable => {
        const lowest = Math.min(...usable.map(loadOf));
        const best = usable.filter(target => loadOf(target) === lowest);
        return best[random.below(best.length)]!;
    };
    return new SimpleRouter(pick, load => loads.set(load.target, (load.running + load.queued) / load.slots));
}
