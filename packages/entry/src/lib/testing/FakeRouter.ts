import {
    type AttemptEnd,
    type RoutedAttempt,
    type Router,
    type RouteRequest,
    type RoutingTarget,
} from "@waxwingspar/policy";
import { type LoadReport, type Stage } from "@waxwingspar/transport";
import { type Failure, failure, type Outcome, requestCodes } from "@waxwingspar/utils";
import { Result } from "true-myth";

/** The end of an attempt that the router had returned. @internal */
export interface RecordedEnd {
    readonly head: string;
    readonly result: AttemptEnd;
    readonly target: string | undefined;
}

/**
 * A router that returns chains in a fixed order and records what is reported to it.
 *
 * @internal
 */
export class FakeRouter implements Router {
    readonly ends: RecordedEnd[] = [];
    readonly reports: LoadReport[] = [];
    readonly lost: string[] = [];
    /** The cached prompt blocks that attempts reported, with the attempts' heads. */
    readonly cached: { readonly head: string; readonly blocks: number; }[] = [];
    readonly asked: RouteRequest[] = [];
    targets: readonly RoutingTarget[] = [];
    /** Targets that are given no new work. */
    readonly withdrawn = new Set<string>();
    /** Set to refuse every choice. */
    refusal: Failure | undefined;
    /** The only versions for which there are chains; undefined for all. */
    versions: readonly string[] | undefined;

    /** @param chains - The chains for models, and for services by their single stages, best first. */
    constructor(private readonly chains: readonly (readonly Stage[])[]) {}

    update(targets: readonly RoutingTarget[]): void {
        this.targets = targets;
    }

    choose(request: RouteRequest): Outcome<RoutedAttempt> {
        this.asked.push(request);
        if (this.versions?.includes(request.version) === false) {
            return Result.err(failure(requestCodes.noCapacity, "no chain of this version", { retryAfter: 1500 }));
        }
        return this.pick(request.exclude, request.head);
    }

    chooseService(_service: string, exclude: ReadonlySet<string>): Outcome<RoutedAttempt> {
        return this.pick(exclude, undefined);
    }

    report(load: LoadReport): void {
        this.reports.push(load);
    }

    unreachable(target: string): void {
        this.lost.push(target);
    }

    setLeaving(): void {}

    cacheEvent(): void {}

    private pick(exclude: ReadonlySet<string>, head: string | undefined): Outcome<RoutedAttempt> {
        if (this.refusal !== undefined) {
            return Result.err(this.refusal);
        }
        const stages = this.chains.find(chain =>
            (head === undefined || chain[0]?.target === head)
            && chain.every(stage => !exclude.has(stage.target) && !this.withdrawn.has(stage.target))
        );
        if (stages === undefined) {
            return Result.err(failure(requestCodes.noCapacity, "no chain", { retryAfter: 1500 }));
        }
        return Result.ok(this.attempt(stages));
    }

    private attempt(stages: readonly Stage[]): RoutedAttempt {
        let ended = false;
        return {
            stages,
            firstToken: () => undefined,
            token: () => undefined,
            cached: blocks => {
                if (!ended) {
                    this.cached.push({ head: stages[0]?.target ?? "", blocks });
                }
            },
            end: (result, target) => {
                if (!ended) {
                    this.ends.push({ head: stages[0]?.target ?? "", result, target });
                }
                ended = true;
            },
        };
    }
}
