import { type CandidateSampler } from "./CandidateSampler.js";
import { type Candidate, planChain } from "./ChainPlanner.js";
import { type CostInput, type CostModel } from "./CostModel.js";
import { type RangeGroup } from "./RangeGroup.js";
import { type CompleteRouterOptions } from "./RouterOptions.js";
import { type TargetState } from "./TargetState.js";
import { type TargetTable } from "./TargetTable.js";

/** Lower limit of the mean load in the bound on prefix affinity; in a nearly idle fleet the mean is near 0. */
const lowestMeanLoad = 0.25;

/**
 * The properties of a request that planning depends on.
 *
 * @internal
 */
export interface PlanRequest {
    readonly key: string;
    readonly ranges: readonly RangeGroup[];
    readonly layers: number;
    readonly activationBytes: number;
    readonly prefix: readonly string[];
    readonly exclude: ReadonlySet<string>;
    readonly head?: string;
}

/**
 * Finds the chain for a request: samples a few targets of each layer range, adds those that have its prefix cached, and
 * selects the cheapest chain.
 *
 * @internal
 */
export class RequestPlanner {
    constructor(
        private readonly options: CompleteRouterOptions,
        private readonly table: TargetTable,
        private readonly costs: CostModel,
        private readonly sampler: CandidateSampler,
    ) {}

    /** Returns the candidate targets of a layer range for a request. */
    draw(range: RangeGroup, request: PlanRequest, probe: TargetState | undefined): TargetState[] {
        if (range.first === 0 && request.head !== undefined) {
            const head = this.table.get(request.head);
            const fits = head !== undefined && this.table.rangesOf(head).includes(range);
            return fits && this.takesWork(head) && !request.exclude.has(head.name) ? [head] : [];
        }
        if (probe !== undefined && this.table.rangesOf(probe).includes(range)) {
            return [probe];
        }
        return this.sampler.sample(range, request.exclude);
    }

    /**
     * Returns the cheapest of up to three chains: one planned without prefix caches, one that also considers the
     * holders of the prefix, and one that uses only holders where there are any. Only blocks cached on every stage save
     * work.
     */
    bestChain(
        request: PlanRequest,
        drawn: readonly TargetState[][],
        input: CostInput,
    ): readonly Candidate[] | undefined {
        const plain = this.planFrom(request, drawn, input, false);
        if (input.matches.size === 0) {
            return plain;
        }
        const holders = request.ranges.map((range, index) => this.holders(range, request, input, drawn[index]!));
        const withHolders = drawn.map((states, index) => [...new Set([...states, ...holders[index]!])]);
        const onlyHolders = drawn.map((states, index) => holders[index]!.length > 0 ? holders[index]! : states);
        const plans = [
            plain,
            this.planFrom(request, withHolders, input, true),
            this.planFrom(request, onlyHolders, input, true),
        ];
        let best: readonly Candidate[] | undefined;
        let lowest = Infinity;
        for (const chain of plans) {
            const cost = chain === undefined ? Infinity : this.chainCost(request, chain, input);
            if (cost < lowest) {
                best = chain;
                lowest = cost;
            }
        }
        return best;
    }

    /** Returns holders of the prefix whose load is not far above the peers' mean. */
    private holders(
        range: RangeGroup,
        request: PlanRequest,
        input: CostInput,
        drawn: readonly TargetState[],
    ): TargetState[] {
        if (drawn.length === 1 && !drawn[0]!.health.isUsable()) {
            return [];
        }
        if (range.first === 0 && request.head !== undefined) {
            return [];
        }
        const usual = this.costs.peerFiguresOf(request.key);
        const bound = Math.max(usual.load, lowestMeanLoad) * this.options.affinityBound;
        return [...input.matches.keys()].filter(state =>
            range.active.includes(state)
            && this.sampler.allows(state, request.exclude)
            && this.costs.loadOf(state, input.now, usual) <= bound
        );
    }

    private planFrom(
        request: PlanRequest,
        drawn: readonly (readonly TargetState[])[],
        input: CostInput,
        usesCache: boolean,
    ): readonly Candidate[] | undefined {
        const usual = this.costs.peerFiguresOf(request.key);
        const candidates = request.ranges.flatMap((range, index) =>
            drawn[index]!.map((state): Candidate => {
                const cached = usesCache ? input.matches.get(state) ?? 0 : 0;
                return { state, range, cost: this.costs.stageCost(state, range, input, cached, usual) };
            })
        );
        return planChain(candidates, request.layers, request.activationBytes, this.costs);
    }

    /** Returns the cost of a whole chain, given the leading blocks that are cached on all its stages. */
    private chainCost(request: PlanRequest, chain: readonly Candidate[], input: CostInput): number {
        const usual = this.costs.peerFiguresOf(request.key);
        const cached = cachedBlocks(chain, input.matches);
        let cost = this.costs.entryCost(chain[0]!.state.target);
        chain.forEach(({ state, range }, index) => {
            cost += this.costs.stageCost(state, range, input, cached, usual);
            const next = chain[index + 1];
            if (next !== undefined) {
                cost += this.costs.hopCost(state.target, next.state.target, request.activationBytes);
            }
        });
        return cost;
    }

    /** Returns a chain that may include ejected (slow or failing) targets, for use when there is no other. */
    lastResort(request: PlanRequest, input: CostInput): readonly Candidate[] | undefined {
        const drawn = request.ranges.map(range =>
            range.first === 0 && request.head !== undefined
                ? this.draw(range, request, undefined)
                : range.subset.filter(state =>
                    this.takesWork(state) && state.health.state !== "unreachable" && !request.exclude.has(state.name)
                )
        );
        return this.planFrom(request, drawn, input, false);
    }

    /** Whether a target has not said that it wants no requests. */
    private takesWork(state: TargetState): boolean {
        return !state.isLeaving && state.restLeft(this.options.clock.now()) === 0;
    }
}

/**
 * Returns the estimated number of leading blocks that are cached on every stage of a chain.
 *
 * @internal
 */
export function cachedBlocks(chain: readonly Candidate[], matches: ReadonlyMap<TargetState, number>): number {
    return matches.size === 0 ? 0 : Math.min(...chain.map(({ state }) => matches.get(state) ?? 0));
}
