import { type Clock } from "@waxwingspar/utils";
import { type EngineControl, type EngineReport } from "../chains/EngineControl.js";
import { type Placement, planLayers } from "../chains/planLayers.js";
import { type TargetSuspicions } from "../chains/TargetSuspicions.js";
import { type Engine, type Service } from "../configuration/Configuration.js";
import { type LayerRange, type Target } from "../directory/Target.js";
import { type TargetDirectory } from "../directory/TargetDirectory.js";
import { type Observation } from "../observation/Observation.js";
import { type PeerGroup } from "../peers/PeerGroup.js";
import { type PlacementLease } from "./PlacementLease.js";

/** Options of {@link PlacementDuty}. */
export interface PlacementDutyOptions {
    readonly clock: Clock;
    readonly lease: PlacementLease;
    readonly directory: TargetDirectory;
    readonly suspicions: TargetSuspicions;
    readonly peers: PeerGroup;
    readonly engines: EngineControl;
    readonly services: () => readonly Service[];
    readonly observation: Observation;
}

/** Gateways that must avoid a target before its layers go elsewhere: one alone may be cut off itself. */
const neededWitnesses = 2;
/** Milliseconds between two looks at the plan. */
const planInterval = 150;
/** Milliseconds that a report may take. */
const reportTimeout = 400;
/** Milliseconds between two reports of a target that loads. */
const pollInterval = 400;
/** Milliseconds for which the list of targets must have been quiet before the first plan, as they start in any order. */
const settleTime = 600;
/** Milliseconds after which an order without effect is given again; a late one is refused by its count of orders. */
const orderPatience = 4_000;

/** Milliseconds for which a report of an order in progress is believed without a newer one. */
const busyTrust = 2_000;

/** What the duty knows of a target beyond its entry in the list. */
interface WorkState {
    /** The layers ordered last. */
    ordered: LayerRange | undefined;
    orderedAt: number;
    report: EngineReport | undefined;
    reportedAt: number;
    /** Orders that the target is known to have accepted since its start. */
    acceptedOrders: number;
    isCalling: boolean;
    nextPoll: number;
}

/** Gives targets their layers, while this process holds the lease. */
export class PlacementDuty {
    private readonly work = new Map<string, WorkState>();
    private isStopped = false;
    private seenRevision = -1;
    private quietSince: number;
    private hasPlanned = false;

    constructor(private readonly options: PlacementDutyOptions) {
        this.quietSince = options.clock.now();
    }

    start(): void {
        this.look();
    }

    stop(): void {
        this.isStopped = true;
    }

    private look(): void {
        if (this.isStopped) {
            return;
        }
        const { clock, lease, directory } = this.options;
        if (directory.revision !== this.seenRevision) {
            this.seenRevision = directory.revision;
            this.quietSince = clock.now();
        }
        if (lease.isHeld && (this.hasPlanned || this.isSettled())) {
            this.hasPlanned = true;
            this.plan();
        }
        clock.schedule(() => this.look(), planInterval);
    }

    /** True once targets are listed and no further ones have come for a while: a plan for a part of them would stay. */
    private isSettled(): boolean {
        const { clock, services, directory } = this.options;
        const hasTargets = services().some(({ name, engine }) =>
            engine !== undefined && directory.readyTargets(name).length > 0
        );
        return hasTargets && clock.now() - this.quietSince > settleTime;
    }

    private plan(): void {
        this.forgetGone();
        for (const { name, engine } of this.options.services()) {
            if (engine === undefined) {
                continue;
            }
            const targets = this.usableTargets(name);
            const dataCentres = [...new Set(targets.map(({ dataCentre }) => dataCentre))];
            for (const dataCentre of dataCentres) {
                const local = targets.filter(target => target.dataCentre === dataCentre);
                planLayers(local, engine).forEach(placement => this.bringAbout(placement, engine));
            }
        }
    }

    /** Targets that are listed as ready and that no gateway avoids, with what they hold or are about to hold. */
    private usableTargets(service: string): Target[] {
        const { directory, suspicions, peers } = this.options;
        const suspects = peers.alive().map(({ state }) => state.suspects);
        const witnesses = (id: string) =>
            suspects.filter(list => list.includes(id)).length + (suspicions.isLost(id) ? 1 : 0);
        const needed = Math.min(neededWitnesses, suspects.length + 1);
        return directory.readyTargets(service)
            .filter(({ id }) => witnesses(id) < needed)
            .map(target => ({ ...target, layers: this.expectedLayers(target) }));
    }

    /** What a target holds or loads, by the newest of its entry, its report and a pending order. */
    private expectedLayers(target: Target): LayerRange | undefined {
        const state = this.work.get(target.id);
        if (state?.ordered !== undefined && this.isPending(state)) {
            return state.ordered;
        }
        return this.heldLayers(target);
    }

    /** True while an order is under way: the target says so, or the last one may still begin. */
    private isPending({ ordered, orderedAt, report, reportedAt }: WorkState): boolean {
        const now = this.options.clock.now();
        const isBusy = report?.isBusy === true && now - reportedAt < busyTrust;
        return isBusy || (ordered !== undefined && now - orderedAt < orderPatience);
    }

    private heldLayers(target: Target): LayerRange | undefined {
        const state = this.work.get(target.id);
        const isReportNewer = state !== undefined && state.reportedAt > this.options.directory.changedAt(target.id);
        return isReportNewer ? state.report?.layers : target.layers;
    }

    private bringAbout({ target, layers }: Placement, engine: Engine): void {
        const { clock, directory } = this.options;
        const listed = directory.get(target.id);
        if (listed === undefined) {
            return;
        }
        const state = this.stateOf(target.id);
        if (sameRange(this.heldLayers(listed), layers)) {
            state.ordered = undefined;
            return;
        }
        if (state.isCalling) {
            return;
        }
        const mustWait = this.isPending(state);
        if (!mustWait) {
            void this.order(listed, layers, state, engine);
        }
        else if (clock.now() >= state.nextPoll) {
            void this.poll(listed, state);
        }
    }

    private async order(target: Target, layers: LayerRange, state: WorkState, engine: Engine): Promise<void> {
        const { clock, lease, engines, observation } = this.options;
        const term = lease.term ?? 0;
        // An earlier holder has given this target orders; how many, only its report tells.
        if (target.layers !== undefined && state.report === undefined) {
            await this.poll(target, state);
            return;
        }
        const expectedOrders = state.acceptedOrders;
        state.isCalling = true;
        const result = await engines.place(target, { layers, fence: term, expectedOrders });
        state.isCalling = false;
        observation.metrics.orders.add({ result: result.kind });
        observation.logs.duty.info({
            target: target.id,
            dataCentre: target.dataCentre,
            held: this.heldLayers(target),
            layers,
            term,
            expectedOrders,
            result: result.kind,
            reason: "reason" in result ? result.reason : undefined,
        }, "layers ordered");
        if (result.kind === "refused") {
            return;
        }
        if (result.kind === "unfit") {
            await this.poll(target, state);
            return;
        }
        state.acceptedOrders += result.kind === "begun" ? 1 : 0;
        state.ordered = layers;
        state.orderedAt = clock.now();
        const share = (layers.end - layers.first) / engine.layers;
        state.nextPoll = clock.now() + (result.kind === "begun" ? engine.loadTime * share : 0);
    }

    private async poll(target: Target, state: WorkState): Promise<void> {
        const { clock, engines } = this.options;
        state.isCalling = true;
        const report = await engines.fetchReport(target, reportTimeout);
        state.isCalling = false;
        state.nextPoll = clock.now() + pollInterval;
        if (report !== undefined) {
            state.report = report;
            state.reportedAt = clock.now();
            state.acceptedOrders = report.orders;
        }
    }

    private stateOf(id: string): WorkState {
        let state = this.work.get(id);
        if (state === undefined) {
            state = {
                ordered: undefined,
                orderedAt: 0,
                report: undefined,
                reportedAt: -Infinity,
                acceptedOrders: 0,
                isCalling: false,
                nextPoll: 0,
            };
            this.work.set(id, state);
        }
        return state;
    }

    private forgetGone(): void {
        for (const id of this.work.keys()) {
            if (this.options.directory.get(id) === undefined) {
                this.work.delete(id);
            }
        }
    }
}

function sameRange(a: LayerRange | undefined, b: LayerRange): boolean {
    return a !== undefined && a.first === b.first && a.end === b.end;
}
