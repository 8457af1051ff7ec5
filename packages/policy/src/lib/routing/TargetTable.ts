import { TargetHealth } from "../health/TargetHealth.js";
import { RangeGroup } from "./RangeGroup.js";
import { hashOf, rendezvousScore } from "./rendezvous.js";
import { type RoutingTarget } from "./Router.js";
import { type CompleteRouterOptions } from "./RouterOptions.js";
import { TargetState } from "./TargetState.js";

/** The planner treats a plain service as a model with one layer. */
const serviceLayer = 0;

/**
 * All configured targets, grouped by the layer ranges and services that they hold.
 *
 * @internal
 */
export class TargetTable {
    private states = new Map<string, TargetState>();
    private groups = new Map<string, RangeGroup[]>();
    private groupsOf = new Map<TargetState, RangeGroup[]>();
    private readonly entryHash: number;

    constructor(private readonly options: CompleteRouterOptions) {
        this.entryHash = hashOf(options.entry);
    }

    get(name: string): TargetState | undefined {
        return this.states.get(name);
    }

    /** Returns the layer ranges of a model version, ordered by first layer. */
    ranges(model: string, version: string): readonly RangeGroup[] {
        return this.groups.get(modelKey(model, version)) ?? [];
    }

    /** Returns the targets of a plain service, as the only layer range of a model with one layer. */
    service(name: string): readonly RangeGroup[] {
        return this.groups.get(serviceKey(name)) ?? [];
    }

    /** Returns the layer ranges of each model version or service. */
    allRanges(): Iterable<readonly RangeGroup[]> {
        return this.groups.values();
    }

    rangesOf(state: TargetState): readonly RangeGroup[] {
        return this.groupsOf.get(state) ?? [];
    }

    /** Invalidates the ranges of a target that became usable or unusable. */
    changed(state: TargetState): void {
        this.rangesOf(state).forEach(range => range.invalidate());
    }

    update(targets: readonly RoutingTarget[]): void {
        const states = new Map<string, TargetState>();
        targets.forEach(target => states.set(target.name, this.stateFor(target)));
        this.states = states;
        this.regroup();
    }

    private stateFor(target: RoutingTarget): TargetState {
        const known = this.states.get(target.name);
        // A different host or port under the same name is a different target, so learned estimates do not apply to it.
        if (known !== undefined && known.target.host === target.host && known.target.port === target.port) {
            known.target = target;
            return known;
        }
        const { clock, random } = this.options;
        return new TargetState(target, hashOf(target.name), new TargetHealth(clock, random, this.options));
    }

    private regroup(): void {
        this.groups = new Map();
        this.groupsOf = new Map();
        for (const state of this.states.values()) {
            const { holds, service, slots, speed } = state.target;
            const score = rendezvousScore(this.entryHash, state.hash, slots * speed);
            holds.forEach(held => this.join(modelKey(held.model, held.version), held.first, held.last, state, score));
            if (service !== undefined) {
                this.join(serviceKey(service), serviceLayer, serviceLayer, state, score);
            }
        }
        for (const ranges of this.groups.values()) {
            ranges.sort((a, b) => a.first - b.first || a.last - b.last);
            ranges.forEach(range => range.complete());
        }
    }

    private join(key: string, first: number, last: number, state: TargetState, score: number): void {
        const ranges = this.groups.get(key) ?? [];
        this.groups.set(key, ranges);
        let range = ranges.find(candidate => candidate.first === first && candidate.last === last);
        if (range === undefined) {
            range = new RangeGroup(first, last, this.options);
            ranges.push(range);
        }
        range.add(state, score);
        const own = this.groupsOf.get(state) ?? [];
        this.groupsOf.set(state, [...own, range]);
    }
}

function modelKey(model: string, version: string): string {
    return `model ${model} ${version}`;
}

function serviceKey(service: string): string {
    return `service ${service}`;
}
