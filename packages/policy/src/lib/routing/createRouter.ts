import { type LoadReport, type Stage } from "@waxwingspar/transport";
import { type Clock, failure, type Outcome, type Random, requestCodes } from "@waxwingspar/utils";
import { Result } from "true-myth";
import { type AttemptEnd, type RoutedAttempt, type Router, type RouteRequest, type RoutingTarget } from "./Router.js";

/**
 * Options of {@link createRouter}.
 *
 * @public
 */
export interface RouterOptions {
    readonly clock: Clock;
    readonly random: Random;
    /** The name of this entry, which decides which part of a large fleet it uses. */
    readonly entry: string;
    readonly dataCentre: string;
    readonly region: string;
}

interface KnownTarget {
    target: RoutingTarget;
    inFlight: number;
    leaving: boolean;
    avoidUntil: number;
}

class SimpleRouter implements Router {
    private targets = new Map<string, KnownTarget>();

    constructor(private readonly options: RouterOptions) {}

    update(targets: readonly RoutingTarget[]): void {
        const next = new Map<string, KnownTarget>();
        for (const target of targets) {
            const known = this.targets.get(target.name) ?? { target, inFlight: 0, leaving: false, avoidUntil: 0 };
            known.target = target;
            next.set(target.name, known);
        }
        this.targets = next;
    }

    choose(request: RouteRequest): Outcome<RoutedAttempt> {
        const stages: Stage[] = [];
        const failed = this.extend(request, 0, stages);
        return failed ? this.noCapacity() : Result.ok(this.attempt(stages));
    }

    chooseService(service: string, exclude: ReadonlySet<string>): Outcome<RoutedAttempt> {
        const usable = this.usable(exclude).filter(known => known.target.service === service);
        const best = usable[0];
        return best === undefined ? this.noCapacity() : Result.ok(this.attempt([stageOf(best.target, 0, 0)]));
    }

    report(load: LoadReport): void {
        this.setLeaving(load.target, load.leaving);
    }

    unreachable(target: string): void {
        const known = this.targets.get(target);
        if (known !== undefined) {
            known.avoidUntil = this.options.clock.now() + 1000;
        }
    }

    setLeaving(target: string, leaving: boolean): void {
        const known = this.targets.get(target);
        if (known !== undefined) {
            known.leaving = leaving;
        }
    }

    cacheEvent(): void {
        // The prefix index comes with the cost model.
    }

    /** Depth first over layer boundaries, least loaded first. Returns true when no chain was found. */
    private extend(request: RouteRequest, layer: number, stages: Stage[]): boolean {
        if (layer === request.layers) {
            return false;
        }
        for (const known of this.usable(request.exclude)) {
            if (layer === 0 && request.head !== undefined && known.target.name !== request.head) {
                continue;
            }
            const held = known.target.holds.find(range =>
                range.model === request.model && range.version === request.version && range.first === layer
            );
            if (held === undefined || held.last >= request.layers) {
                continue;
            }
            stages.push(stageOf(known.target, held.first, held.last));
            if (!this.extend(request, held.last + 1, stages)) {
                return false;
            }
            stages.pop();
        }
        return true;
    }

    private usable(exclude: ReadonlySet<string>): KnownTarget[] {
        const now = this.options.clock.now();
        const order = (known: KnownTarget) => known.inFlight / known.target.slots + this.options.random.next() * 1e-6;
        return [...this.targets.values()]
            .filter(known => !known.leaving && known.avoidUntil <= now && !exclude.has(known.target.name))
            .map(known => ({ known, rank: order(known) }))
            .sort((a, b) => a.rank - b.rank)
            .map(entry => entry.known);
    }

    private attempt(stages: readonly Stage[]): RoutedAttempt {
        const used = stages.map(stage => this.targets.get(stage.target));
        used.forEach(known => known && known.inFlight++);
        let ended = false;
        return {
            stages,
            firstToken: () => undefined,
            token: () => undefined,
            end: (result: AttemptEnd, target?: string) => {
                if (ended) {
                    return;
                }
                ended = true;
                used.forEach(known => known && known.inFlight--);
                if (result === "failed" && target !== undefined) {
                    this.unreachable(target);
                }
            },
        };
    }

    private noCapacity(): Outcome<RoutedAttempt> {
        return Result.err(failure(requestCodes.noCapacity, "no target can serve this", { retryAfter: 1000 }));
    }
}

function stageOf(target: RoutingTarget, first: number, last: number): Stage {
    return { target: target.name, host: target.host, port: target.port, first, last };
}

/**
 * Creates the router of an entry.
 *
 * @public
 */
export function createRouter(options: RouterOptions): Router {
    return new SimpleRouter(options);
}
