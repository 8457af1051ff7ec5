import { type Clock } from "@waxwingspar/utils";
import { buildChain } from "../chains/buildChain.js";
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
import { type ListedTarget, TargetWork } from "./TargetWork.js";

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

/** Gateways that must avoid a target before its layers go elsewhere: one alone may be cut off itself. */
const neededWitnesses = 2;
/** Milliseconds between two looks at the plan. */
const planInterval = 150;
/** Milliseconds that a report may take. */
const reportTimeout = 400;
/**
 * Milliseconds that the answer to an order may take. An order without one is given again at once, with the same count of
 * orders: whichever comes first is carried out, and the other one refused. On a played day whose answers were lost, a range
 * stayed unplaced for more than 5 s while the late one was waited for.
 */
const orderTimeout = 500;
/** Milliseconds between two reports of a target that loads. */
const pollInterval = 400;
/** Milliseconds for which the list of targets must have been quiet before the first plan, as they start in any order. */
const settleTime = 600;
/**
 * Milliseconds after the first target was listed at which the first plan is made in any case: targets that come and go all the time
 * would put it off for good. It is no shorter since the plan stays: 130 targets that start together are listed over 4.2 s (measured on
 * a site of 198 hosts).
 */
const longestSettleTime = 8_000;

/** Gives targets their layers, while this process holds the lease. */
export class PlacementDuty {
    /** By incarnation of the target. */
    private readonly work = new Map<string, TargetWork>();
    /** By service and data centre. */
    private readonly chains = new Map<string, DataCentreChain>();
    private readonly paceWatch: PaceWatch;
    private isStopped = false;
    private seenRevision = -1;
    private quietSince: number;
    private hasPlanned = false;
    /** When a target was first listed, on the clock. */
    private firstListedAt: number | undefined;

    constructor(private readonly options: PlacementDutyOptions) {
        this.quietSince = options.clock.now();
        this.paceWatch = new PaceWatch(options);
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

    /**
     * True once targets are listed and no further ones have come for a while: a plan for a part of them would stay. It waits
     * for that quiet only so long.
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
        return now - this.quietSince > settleTime || now - this.firstListedAt > longestSettleTime;
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
                const chain = this.chainOf(name, dataCentre);
                chain.update(this.presentChain(dataCentre, local, engine));
                if (this.options.isOn?.("slow-targets") !== false) {
                    this.paceWatch.ask(chain.inUse);
                }
                this.planDataCentre(local, engine, chain)
                    .forEach(placement => this.bringAbout(placement, engine));
            }
        }
    }

    /** Targets that are listed as ready and that no gateway avoids, with what they hold or are about to hold. */
    private usableTargets(service: string): Target[] {
        const { directory, suspicions, peers } = this.options;
        const { suspects, members } = peers.others;
        const witnesses = (id: string) => (suspects[id] ?? 0) + (suspicions.isLost(id) ? 1 : 0);
        const needed = Math.min(neededWitnesses, members + 1);
        return directory.readyTargets(service)
            .filter(({ id }) => witnesses(id) < needed)
            .map(target => ({ ...target, layers: this.workOf(target).expected(this.listed(target)) }));
    }

    /** The chain through what the targets hold by now. */
    private presentChain(dataCentre: string, targets: readonly Target[], engine: Engine): Chain | undefined {
        const { directory, paces } = this.options;
        const listed = targets.flatMap(({ id }) => directory.get(id) ?? []);
        return buildChain(dataCentre, listed, engine, id => paces.slowdown(id));
    }

    /**
     * Plans without the slow targets if the others suffice, so that idle ones take their ranges: on a played day with five
     * targets at a twelfth of their speed callers waited for a first event for 0.8 to 2.5 s (medians of 2 s each).
     */
    private planDataCentre(targets: readonly Target[], engine: Engine, chain: DataCentreChain): Placement[] {
        const { paces, isOn = allMechanismsOn } = this.options;
        const inUse = isOn("in-use-targets") ? chain.inUse : new Set<string>();
        const mayShift = chain.isOutForLong || !isOn("shift-patience");
        const wellPaced = targets.filter(({ id }) => !isOn("slow-targets") || paces.slowdown(id) === 1);
        const plan = wellPaced.length < targets.length
            ? planLayers(wellPaced, engine, { inUse, mayShift: false, isOn })
            : [];
        return plan.length > 0 ? plan : planLayers(targets, engine, { inUse, mayShift, isOn });
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

    private bringAbout({ target, layers }: Placement, engine: Engine): void {
        const { clock, directory } = this.options;
        const entry = directory.get(target.id);
        if (entry === undefined) {
            return;
        }
        const listed = this.listed(entry);
        const work = this.workOf(entry);
        if (sameRange(work.held(listed), layers) || work.isCalling) {
            return;
        }
        if (!work.isPending(listed)) {
            void this.order(listed, layers, work, engine);
        }
        else if (clock.now() >= work.nextPoll) {
            void this.poll(entry, work);
        }
    }

    private async order(listed: ListedTarget, layers: LayerRange, work: TargetWork, engine: Engine): Promise<void> {
        const { clock, lease, engines, observation } = this.options;
        const { target } = listed;
        const term = lease.term ?? 0;
        // An earlier holder has given this target orders; how many, only its report tells.
        if (target.layers !== undefined && !work.hasReport) {
            await this.poll(target, work);
            return;
        }
        const expectedOrders = work.acceptedOrders;
        work.isCalling = true;
        const result = await engines.place(target, { layers, fence: term, expectedOrders }, orderTimeout);
        work.isCalling = false;
        observation.metrics.orders.add({ result: result.kind });
        observation.logs.duty.info({
            target: target.id,
            dataCentre: target.dataCentre,
            held: work.held(listed),
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
            await this.poll(target, work);
            return;
        }
        work.acceptedOrders += result.kind === "begun" ? 1 : 0;
        work.recordOrder(layers);
        const share = (layers.end - layers.first) / engine.layers;
        work.nextPoll = clock.now() + (result.kind === "begun" ? engine.loadTime * share : 0);
    }

    private async poll(target: Target, work: TargetWork): Promise<void> {
        const { clock, engines, directory } = this.options;
        work.isCalling = true;
        const report = await engines.fetchReport(target, reportTimeout);
        work.isCalling = false;
        work.nextPoll = clock.now() + pollInterval;
        if (report !== undefined && directory.confirmsStart(target, report.startedAt)) {
            work.recordReport(report);
        }
    }

    /** Orders and reports of an earlier start say nothing of a target, and its count of orders begins anew. */
    private workOf(target: Target): TargetWork {
        const incarnation = incarnationOf(target);
        const known = this.work.get(incarnation);
        if (known !== undefined) {
            return known;
        }
        const work = new TargetWork(this.options.clock);
        this.work.set(incarnation, work);
        return work;
    }

    private forgetGone(): void {
        const listed = new Set(this.options.directory.list().map(incarnationOf));
        for (const incarnation of this.work.keys()) {
            if (!listed.has(incarnation)) {
                this.work.delete(incarnation);
            }
        }
    }
}
