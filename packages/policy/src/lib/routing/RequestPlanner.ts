import { type CandidateSampler } from "./CandidateSampler.js";
import { type Candidate, planChain } from "./ChainPlanner.js";
import { type CostInput, type CostModel } from "./CostModel.js";
import { type RangeGroup } from "./RangeGroup.js";
import { type CompleteRouterOptions } from "./RouterOptions.js";
import { type TargetState } from "./TargetState.js";
import { type TargetTable } from "./TargetTable.js";

/** A fleet that is nearly idle has no load to speak of; prefixes are bounded as if this were its mean. */
const lowestMeanLoad = 0.25;

/**
 * What one request needs of the planner.
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
 * Finds the chain for one request: draws a few targets of each layer range, adds those that hold its prefix, and takes
 * the cheapest chain of them.
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

    /** The targets that a request may use of one layer range. */
    draw(range: RangeGroup, request: PlanRequest, probe: TargetState | undefined): TargetState[] {
        if (range.first === 0 && request.head !== undefined) {
            const head = this.table.get(request.head);
            const fits = head !== undefined && this.table.rangesOf(head).includes(range);
            return fits && !head.isLeaving && !request.exclude.has(head.name) ? [head] : [];
        }
        if (probe !== undefined && this.table.rangesOf(probe).includes(range)) {
            return [probe];
        }
        return this.sampler.sample(range, request.exclude);
    }

    /**
     * The cheapest of up to three plans: one that takes every cached prefix into account, one of holders of the prefix
     * where there are any, and one that ignores it. A prefix helps only as far as every stage holds it.
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

    /** Holders of the prefix that are not far busier than their peers. */
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
        const usual = this.costs.usualOf(request.key);
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
        const usual = this.costs.usualOf(request.key);
        const candidates = request.ranges.flatMap((range, index) =>
            drawn[index]!.map((state): Candidate => {
                const cached = usesCache ? input.matches.get(state) ?? 0 : 0;
                return { state, range, cost: this.costs.stageCost(state, range, input, cached, usual) };
            })
        );
        return planChain(candidates, request.layers, request.activationBytes, this.costs);
    }

    /** The cost of a whole chain with the prefix that all its stages hold. */
    private chainCost(request: PlanRequest, chain: readonly Candidate[], input: CostInput): number {
        const usual = this.costs.usualOf(request.key);
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

    /** A chain that may use targets ejected for being slow or failing, when there is no other. */
    lastResort(request: PlanRequest, input: CostInput): readonly Candidate[] | undefined {
        const drawn = request.ranges.map(range =>
            range.first === 0 && request.head !== undefined
                ? this.draw(range, request, undefined)
                : range.chosen.filter(state =>
                    !state.isLeaving && state.health.state !== "unreachable" && !request.exclude.has(state.name)
                )
        );
        return this.planFrom(request, drawn, input, false);
    }
}

/**
 * The number of leading blocks that every stage of a chain is thought to hold.
 *
 * @internal
 */
export function cachedBlocks(chain: readonly Candidate[], matches: ReadonlyMap<TargetState, number>): number {
    return matches.size === 0 ? 0 : Math.min(...chain.map(({ state }) => matches.get(state) ?? 0));
}
