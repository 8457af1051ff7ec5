import { type LoadReport } from "@waxwingspar/transport";
import { failure, type Outcome, requestCodes } from "@waxwingspar/utils";
import { Result } from "true-myth";
import { DataCentreBreaker } from "../health/DataCentreBreaker.js";
import { findSlowTargets, mayEject } from "../health/SlowTargetDetector.js";
import { CandidateSampler } from "./CandidateSampler.js";
import { type AttemptObserver, ChainAttempt } from "./ChainAttempt.js";
import { type Candidate } from "./ChainPlanner.js";
import { type CostInput, CostModel } from "./CostModel.js";
import { LatencyLearner } from "./LatencyLearner.js";
import { PrefixIndex } from "./PrefixIndex.js";
import { cachedBlocks, type PlanRequest, RequestPlanner } from "./RequestPlanner.js";
import { type AttemptEnd, type RoutedAttempt, type Router, type RouteRequest, type RoutingTarget } from "./Router.js";
import { type CompleteRouterOptions, completeRouterOptions, type RouterOptions } from "./RouterOptions.js";
import { type TargetState } from "./TargetState.js";
import { TargetTable } from "./TargetTable.js";

/** Milliseconds between two reviews of a model version, which update the peer figures and eject slow targets. */
const reviewInterval = 500;
/** Retry delay returned when no chain covers the layers, in milliseconds. */
const noCapacityRetryAfter = 500;
/** The share of requests sent although all candidates predict times far over the bound, to test the prediction. */
const trialShare = 0.1;
/** Calls of plain services have one stage and transfer no activations. */
const serviceActivationBytes = 0;

class ChainRouter implements Router, AttemptObserver {
    private readonly table: TargetTable;
    private readonly costs: CostModel;
    private readonly prefixes: PrefixIndex;
    private readonly learner: LatencyLearner;
    private readonly dataCentres: DataCentreBreaker;
    private readonly planner: RequestPlanner;
    /** Targets that are ejected, unreachable or being probed. */
    private readonly unavailable = new Set<TargetState>();
    private readonly reviewedAt = new Map<string, number>();

    constructor(private readonly options: CompleteRouterOptions) {
        this.table = new TargetTable(options);
        this.costs = new CostModel(options);
        this.prefixes = new PrefixIndex(options);
        this.learner = new LatencyLearner(this.costs);
        this.dataCentres = new DataCentreBreaker(options.clock);
        const sampler = new CandidateSampler(options.clock, options.random, this.dataCentres, options.choices);
        this.planner = new RequestPlanner(options, this.table, this.costs, sampler);
    }

    update(targets: readonly RoutingTarget[]): void {
        this.table.update(targets);
        this.unavailable.forEach(state => this.table.get(state.name) !== state && this.unavailable.delete(state));
    }

    choose(request: RouteRequest): Outcome<RoutedAttempt> {
        const { model, version } = request;
        return this.plan({ ...request, key: `${model} ${version}`, ranges: this.table.ranges(model, version) });
    }

    chooseService(service: string, exclude: ReadonlySet<string>): Outcome<RoutedAttempt> {
        return this.plan({
            key: service,
            ranges: this.table.service(service),
            layers: 1,
            activationBytes: serviceActivationBytes,
            prefix: [],
            exclude,
        });
    }

    report(load: LoadReport): void {
        const state = this.table.get(load.target);
        if (state === undefined) {
            return;
        }
        state.report(load, this.options.clock.now(), this.options.reportMemory);
        // A delayed report may predate the target's leaving report, so it must not reset the flag.
        if (load.leaving && !state.reportedAsLeaving) {
            state.reportedAsLeaving = true;
            this.table.changed(state);
        }
    }

    unreachable(target: string): void {
        const state = this.table.get(target);
        if (state !== undefined) {
            state.health.lost();
            // After a restart the target has an empty cache and is no longer leaving.
            state.reportedAsLeaving = false;
            state.endRest();
            state.cacheGeneration++;
            this.dataCentres.lost(state.target.dataCentre, target);
            this.trackIfUnusable(state);
        }
    }

    setLeaving(target: string, leaving: boolean): void {
        const state = this.table.get(target);
        if (state !== undefined && state.listedAsLeaving !== leaving) {
            state.listedAsLeaving = leaving;
            this.table.changed(state);
        }
    }

    cacheEvent(target: string, kind: "stored" | "evicted" | "cleared" | "gap", blocks: readonly string[]): void {
        const state = this.table.get(target);
        if (state === undefined) {
            return;
        }
        switch (kind) {
            case "stored":
                // Blocks on targets outside this entry's subset would only evict useful ones from the index.
                if (this.table.rangesOf(state).some(range => range.subset.includes(state))) {
                    this.prefixes.stored([state], blocks);
                }
                return;
            case "evicted":
                return this.prefixes.evicted(state, blocks);
            case "cleared":
                state.cacheGeneration++;
                return;
            case "gap":
                state.cacheGaps++;
                return;
        }
    }

    firstToken(attempt: ChainAttempt, latency: number): void {
        const { chain, input, key, expectedBlocks, probe } = attempt;
        for (const { state } of chain) {
            state.health.succeeded();
            this.dataCentres.succeeded(state.target.dataCentre);
        }
        this.prefixes.stored(chain.map(({ state }) => state), attempt.prefix);
        if (probe === undefined) {
            const changes = this.learner.learnFirstToken(
                chain,
                this.withCurrentTime(input),
                key,
                expectedBlocks,
                latency,
            );
            attempt.firstTokenUpdate = { latency, changes };
        }
    }

    interval(attempt: ChainAttempt, mean: number): void {
        const { chain, key, probe } = attempt;
        const input = this.withCurrentTime(attempt.input);
        if (probe !== undefined && probe.state.health.state === "probing") {
            this.judgeProbe(attempt, probe, mean);
        }
        else {
            this.learner.learnInterval(chain, input, key, mean);
        }
    }

    cacheHitReported(attempt: ChainAttempt, blocks: number): void {
        const { chain, key, prefix, expectedBlocks, firstTokenUpdate: firstTokenLesson } = attempt;
        const states = chain.map(({ state }) => state);
        const seen = Math.min(prefix.length, blocks);
        this.prefixes.updateTrust(states, prefix, { expected: expectedBlocks, seen });
        if (firstTokenLesson !== undefined && Math.abs(seen - expectedBlocks) > 1) {
            const input = this.withCurrentTime(attempt.input);
            this.learner.unlearnFirstToken(chain, firstTokenLesson.changes, input.now);
            this.learner.learnFirstToken(chain, input, key, seen, firstTokenLesson.latency);
        }
    }

    ended(attempt: ChainAttempt, result: AttemptEnd, target: string | undefined, rest: number | undefined): void {
        const faulty = attempt.chain.filter(stage => target === undefined || stage.state.name === target);
        if (result === "refused") {
            faulty.slice(0, 1).forEach(({ state }) => state.refused(this.options.clock.now(), rest));
        }
        if (result === "failed") {
            faulty.forEach(({ state }) => this.failed(state, 1 / faulty.length));
        }
        const probe = attempt.probe?.state;
        if (probe !== undefined && probe.health.state === "probing") {
            this.endProbe(probe, result);
        }
    }

    private plan(request: PlanRequest): Outcome<RoutedAttempt> {
        this.review(request);
        const matches = this.prefixes.match(request.prefix);
        const input = {
            now: this.options.clock.now(),
            layers: request.layers,
            activationBytes: request.activationBytes,
            blocks: request.prefix.length,
            matches,
        };
        const probe = this.probeFor(request);
        const drawn = request.ranges.map(range => this.planner.draw(range, request, probe));
        const chain = this.planner.bestChain(request, drawn, input) ?? this.planner.lastResort(request, input);
        if (chain === undefined) {
            const details = { retryAfter: Math.max(noCapacityRetryAfter, this.restLeft(request, input.now)) };
            return Result.err(failure(requestCodes.noCapacity, "no chain of live targets covers the model", details));
        }
        const late = this.lateness(drawn[0] ?? [], input.now);
        if (late > 0 && probe === undefined && this.options.random.next() >= trialShare) {
            return Result.err(
                failure(requestCodes.overloaded, "every candidate target is far over its first-token bound", {
                    retryAfter: late,
                }),
            );
        }
        const probed = chain.find(stage => stage.state === probe);
        probed?.state.health.probeSent();
        const cached = cachedBlocks(chain, input.matches);
        return Result.ok(new ChainAttempt(chain, input, request.key, request.prefix, cached, probed, this));
    }

    /** Milliseconds until each layer range has a target that does not rest. */
    private restLeft({ ranges }: PlanRequest, now: number): number {
        const waits = ranges.map(({ subset }) => Math.min(...subset.map(state => state.restLeft(now))));
        return Math.max(0, ...waits.filter(Number.isFinite));
    }

    /** Returns an unavailable target that is due for a probe and that this request can probe. */
    private probeFor(request: PlanRequest): TargetState | undefined {
        const now = this.options.clock.now();
        for (const state of this.unavailable) {
            const range = request.ranges.find(candidate => candidate.subset.includes(state));
            if (range === undefined || state.isLeaving || state.restLeft(now) > 0 || request.exclude.has(state.name)) {
                continue;
            }
            const isBound = range.first === 0 && request.head !== undefined;
            if (!isBound && !this.dataCentres.isAvoided(state.target.dataCentre) && state.health.isProbeDue()) {
                return state;
            }
        }
        return undefined;
    }

    /**
     * Returns by how many milliseconds the lowest recent estimate of the sampled heads exceeds the first-token bound,
     * or 0 when it is within `refuseAbove` times the bound.
     */
    private lateness(heads: readonly TargetState[], now: number): number {
        const { refuseAbove, firstTokenBound, reportHalfLife } = this.options;
        if (heads.length === 0) {
            return 0;
        }
        const estimates = heads.map(head => head.recentFirstTokenEstimate(now, reportHalfLife));
        const lowest = Math.min(...estimates);
        return lowest > refuseAbove * firstTokenBound ? lowest - firstTokenBound : 0;
    }

    private review(request: PlanRequest): void {
        const now = this.options.clock.now();
        const last = this.reviewedAt.get(request.key);
        if (last !== undefined && now - last < reviewInterval) {
            return;
        }
        this.reviewedAt.set(request.key, now);
        request.ranges.forEach(range => range.refresh());
        for (const slow of findSlowTargets(request.ranges, this.options, now)) {
            if (mayEject(this.table.rangesOf(slow), this.options.maxEjected)) {
                slow.health.eject();
                this.trackIfUnusable(slow);
            }
        }
        request.ranges.forEach(range => range.refresh());
        this.costs.refresh(request.key, request.ranges);
    }

    private failed(state: TargetState, weight: number): void {
        state.health.failed(weight, mayEject(this.table.rangesOf(state), this.options.maxEjected));
        this.trackIfUnusable(state);
    }

    /** Adds a target that is no longer usable to the targets to probe. */
    private trackIfUnusable(state: TargetState): void {
        if (!state.health.isUsable()) {
            this.unavailable.add(state);
            this.table.changed(state);
        }
    }

    private judgeProbe(attempt: ChainAttempt, probe: Candidate, mean: number): void {
        const input = this.withCurrentTime(attempt.input);
        const factor = this.learner.probeFactor(attempt.chain, probe, input, attempt.key, mean);
        if (factor > this.costs.peerFiguresOf(attempt.key).interval * this.options.slowFactor) {
            probe.state.health.eject();
            return;
        }
        this.returned(probe.state);
    }

    private endProbe(state: TargetState, result: AttemptEnd): void {
        if (result === "completed" || result === "refused") {
            // A refusal shows that the target is alive, and delays no response.
            this.returned(state);
        }
        else {
            // The attempt was cancelled, or another stage failed.
            state.health.probeWithdrawn();
        }
    }

    /** Readmits a target after a successful probe. Its learned factors are discarded. */
    private returned(state: TargetState): void {
        state.intervalFactor.reset();
        state.prefillFactor.reset();
        state.health.passed();
        this.unavailable.delete(state);
        this.table.changed(state);
    }

    private withCurrentTime(input: CostInput): CostInput {
        return { ...input, now: this.options.clock.now() };
    }
}

/**
 * Creates the router of an entry.
 *
 * @example
 * ```ts
 * const router = createRouter({ clock, random, entry: "entry-1", dataCentre: "cairo-1", region: "cairo" });
 * router.update(targets);
 * const attempt = router.choose(request);
 * ```
 * @public
 */
export function createRouter(options: RouterOptions): Router {
    return new ChainRouter(completeRouterOptions(options));
}
