import { type Clock } from "@waxwingspar/utils";
import { buildChain, type Slowdown } from "../chains/buildChain.js";
import { buildChains } from "../chains/buildChains.js";
import { type Chain } from "../chains/Chain.js";
import { type EngineControl } from "../chains/EngineControl.js";
import { type Placement } from "../chains/Placement.js";
import { planLayers } from "../chains/planLayers.js";
import { type TargetPaces } from "../chains/TargetPaces.js";
import { type TargetSuspicions } from "../chains/TargetSuspicions.js";
import { type Engine, type Service } from "../configuration/Configuration.js";
import { incarnationOf, type LayerRange, sameRange, type Target } from "../directory/Target.js";
import { type TargetDirectory } from "../directory/TargetDirectory.js";
import { allMechanismsOn, type MechanismSwitch } from "../Mechanisms.js";
import { type Observation } from "../observation/Observation.js";
import { type PeerGroup } from "../peers/PeerGroup.js";
import { DataCentreChain } from "./DataCentreChain.js";
import { PaceWatch } from "./PaceWatch.js";
import { type PlacementLease } from "./PlacementLease.js";
import { type ListedTarget, TargetOrderState } from "./TargetOrderState.js";

/** Options of {@link PlacementDuty}. */
export interface PlacementDutyOptions {
    readonly clock: Clock;
    readonly lease: Pick<PlacementLease, "isHeld" | "term">;
    readonly directory: TargetDirectory;
    readonly suspicions: TargetSuspicions;
    readonly paces: TargetPaces;
    readonly peers: Pick<PeerGroup, "others">;
    readonly engines: EngineControl;
    readonly services: () => readonly Service[];
    readonly isOn?: MechanismSwitch;
    readonly observation: Observation;
}

/** Number of gateways that must suspect a target before its layers are moved: a single one may be cut off itself. */
const suspicionQuorum = 2;
/** Milliseconds between two planning cycles. */
const planInterval = 150;
/** Timeout of a report, in milliseconds. */
const reportTimeout = 400;
/**
 * Timeout of the answer to an order, in milliseconds. An unanswered order is sent again immediately with the same
 * expected order count, so that the target carries out the first one it receives and refuses the other.
 */
const orderTimeout = 500;
/** Milliseconds between two reports of a target that loads layers. */
const pollInterval = 400;
/** Milliseconds without a change in the list of targets before the first plan, since targets start in any order. */
const settleTime = 600;
/**
 * Milliseconds after the first target was listed at which the first plan is made in any case, since continual changes
 * in the list would delay it indefinitely. It is long enough for a large site, as the first plan largely persists: 130
 * targets on 198 hosts that start at the same time are listed within 4.2 s.
 */
const maxSettleTime = 8_000;

/** Plans the layers of all targets and sends the targets their orders, while this process holds the placement lease. */
export class PlacementDuty {
    /** By incarnation of the target. */
    private readonly orderStates = new Map<string, TargetOrderState>();
    /** By service and data centre. */
    private readonly chains = new Map<string, DataCentreChain>();
    private readonly paceWatch: PaceWatch;
    private isStopped = false;
    private seenRevision = -1;
    private unchangedSince: number;
    private hasPlanned = false;
    /** When the first target was listed, on the clock. */
    private firstListedAt: number | undefined;

    constructor(private readonly options: PlacementDutyOptions) {
        this.unchangedSince = options.clock.now();
        this.paceWatch = new PaceWatch(options);
    }

    start(): void {
        this.runPlanningCycle();
    }

    stop(): void {
        this.isStopped = true;
    }

    private runPlanningCycle(): void {
        if (this.isStopped) {
            return;
        }
        const { clock, lease, directory } = this.options;
        if (directory.revision !== this.seenRevision) {
            this.seenRevision = directory.revision;
            this.unchangedSince = clock.now();
        }
        if (lease.isHeld && (this.hasPlanned || this.isSettled())) {
            this.hasPlanned = true;
            this.plan();
        }
        clock.schedule(() => this.runPlanningCycle(), planInterval);
    }

    /**
     * Whether targets are listed and their list has not changed for the settle time, or the maximum settle time has
     * passed. A plan for only a part of the targets would persist.
     */
    private isSettled(): boolean {
        const { clock, services, directory } = this.options;
        const hasTargets = services().some(({ name, engine }) =>
            engine !== undefined && directory.readyTargets(name).length > 0
        );
        if (!hasTargets) {
            return false;
        }
        const now = clock.now();
        this.firstListedAt ??= now;
        return now - this.unchangedSince > settleTime || now - this.firstListedAt > maxSettleTime;
    }

    private plan(): void {
        this.removeUnlisted();
        for (const { name, engine } of this.options.services()) {
            if (engine === undefined) {
                continue;
            }
            const targets = this.usableTargets(name);
            const dataCentres = [...new Set(targets.map(({ dataCentre }) => dataCentre))];
            for (const dataCentre of dataCentres) {
                const local = targets.filter(target => target.dataCentre === dataCentre);
                const chain = this.chainOf(name, dataCentre);
                chain.update(this.buildCurrentChains(dataCentre, local, engine, chain));
                if (this.options.isOn?.("slow-targets") !== false) {
                    this.paceWatch.requestReports(chain.inUse);
                }
                this.planDataCentre(local, engine, chain)
                    .forEach(placement => this.applyPlacement(placement, engine));
            }
        }
    }

    /** Returns the ready targets that no quorum of gateways suspects, with the layers that they hold or will hold. */
    private usableTargets(service: string): Target[] {
        const { directory, suspicions, peers } = this.options;
        const { suspects, members } = peers.others;
        const countSuspicions = (id: string) => (suspects[id] ?? 0) + (suspicions.isLost(id) ? 1 : 0);
        const quorum = Math.min(suspicionQuorum, members + 1);
        return directory.readyTargets(service)
            .filter(({ id }) => countSuspicions(id) < quorum)
            .map(target => ({ ...target, layers: this.getOrderState(target).expected(this.listed(target)) }));
    }

    /** Builds the chains from the layers that the targets hold now. */
    private buildCurrentChains(
        dataCentre: string,
        targets: readonly Target[],
        engine: Engine,
        { current }: DataCentreChain,
    ): Chain[] {
        const { directory, paces, isOn = allMechanismsOn } = this.options;
        const listed = targets.flatMap(({ id }) => directory.get(id) ?? []);
        const slowdown: Slowdown = id => paces.slowdown(id);
        return current.get(
            [engine, directory.revision, paces.fingerprint, listed.map(({ id }) => id).join()],
            () =>
                isOn("several-chains")
                    ? buildChains(dataCentre, listed, engine, { slowdown })
                    : [buildChain(dataCentre, listed, engine, slowdown) ?? []].flat(),
        );
    }

    /**
     * Plans without the slow targets if the others suffice, so that idle targets take over their ranges. On a simulated
     * day with five targets at a twelfth of their speed, callers otherwise waited 0.8 to 2.5 s for the first event
     * (medians over 2 s each).
     */
    private planDataCentre(targets: readonly Target[], engine: Engine, chain: DataCentreChain): Placement[] {
        const { paces, isOn = allMechanismsOn } = this.options;
        const inUse = isOn("in-use-targets") ? chain.inUse : new Set<string>();
        const mayShift = chain.hasLongOutage || !isOn("shift-patience");
        const fullSpeedTargets = targets.filter(({ id }) => !isOn("slow-targets") || paces.slowdown(id) === 1);
        const inputs = [engine, mayShift, describe(targets), describe(fullSpeedTargets), [...inUse].sort().join()];
        return chain.plan.get(inputs, () => {
            const plan = fullSpeedTargets.length < targets.length
                ? planLayers(fullSpeedTargets, engine, { inUse, mayShift: false, isOn })
                : [];
            return plan.length > 0 ? plan : planLayers(targets, engine, { inUse, mayShift, isOn });
        });
    }

    private chainOf(service: string, dataCentre: string): DataCentreChain {
        const key = `${service} ${dataCentre}`;
        const chain = this.chains.get(key) ?? new DataCentreChain(this.options.clock);
        this.chains.set(key, chain);
        return chain;
    }

    private listed(target: Target): ListedTarget {
        return { target, changedAt: this.options.directory.changedAt(target.id) };
    }

    private applyPlacement({ target, layers }: Placement, engine: Engine): void {
        const { clock, directory } = this.options;
        const entry = directory.get(target.id);
        if (entry === undefined) {
            return;
        }
        const listed = this.listed(entry);
        const orderState = this.getOrderState(entry);
        if (sameRange(orderState.held(listed), layers) || orderState.isCalling) {
            return;
        }
        if (!orderState.isPending(listed)) {
            void this.order(listed, layers, orderState, engine);
        }
        else if (clock.now() >= orderState.nextPoll) {
            void this.poll(entry, orderState);
        }
    }

    private async order(
        listed: ListedTarget,
        layers: LayerRange,
        orderState: TargetOrderState,
        engine: Engine,
    ): Promise<void> {
        const { clock, lease, engines, observation } = this.options;
        const { target } = listed;
        const term = lease.term ?? 0;
        // An earlier lease holder sent this target orders, and only the target's report holds their number.
        if (target.layers !== undefined && !orderState.hasReport) {
            await this.poll(target, orderState);
            return;
        }
        const expectedOrders = orderState.acceptedOrders;
        orderState.isCalling = true;
        const result = await engines.place(target, { layers, fence: term, expectedOrders }, orderTimeout);
        orderState.isCalling = false;
        observation.metrics.orders.add({ result: result.kind });
        observation.logs.duty.info({
            target: target.id,
            dataCentre: target.dataCentre,
            held: orderState.held(listed),
            layers,
            term,
            expectedOrders,
            result: result.kind,
            reason: "reason" in result ? result.reason : undefined,
        }, "layers ordered");
        if (result.kind === "refused" || result.kind === "unknown") {
            return;
        }
        if (result.kind === "unfit") {
            await this.poll(target, orderState);
            return;
        }
        orderState.acceptedOrders += result.kind === "begun" ? 1 : 0;
        orderState.recordOrder(layers);
        const share = (layers.end - layers.first) / engine.layers;
        orderState.nextPoll = clock.now() + (result.kind === "begun" ? engine.loadTime * share : 0);
    }

    private async poll(target: Target, orderState: TargetOrderState): Promise<void> {
        const { clock, engines, directory } = this.options;
        orderState.isCalling = true;
        const report = await engines.fetchReport(target, reportTimeout);
        orderState.isCalling = false;
        orderState.nextPoll = clock.now() + pollInterval;
        if (report !== undefined && directory.confirmsIncarnation(target, report.startedAt)) {
            orderState.recordReport(report);
        }
    }

    /** Returns the order state of the target's current incarnation: a restarted target counts its orders from 0. */
    private getOrderState(target: Target): TargetOrderState {
        const incarnation = incarnationOf(target);
        const known = this.orderStates.get(incarnation);
        if (known !== undefined) {
            return known;
        }
        const orderState = new TargetOrderState(this.options.clock);
        this.orderStates.set(incarnation, orderState);
        return orderState;
    }

    private removeUnlisted(): void {
        const listed = new Set(this.options.directory.list().map(incarnationOf));
        for (const incarnation of this.orderStates.keys()) {
            if (!listed.has(incarnation)) {
                this.orderStates.delete(incarnation);
            }
        }
    }
}

/** Describes what a plan depends on. */
function describe(targets: readonly Target[]): string {
    return targets.map(target => {
        const { accelerator, layers } = target;
        return `${incarnationOf(target)} ${accelerator} ${layers?.first}-${layers?.end}`;
    }).join();
}
