import { type Configuration } from "@waxwingspar/config";
import { type HistoryRecorder } from "@waxwingspar/history";
import { type TableStore, type Transaction } from "@waxwingspar/stores";
import { type Clock, type Failure, type Outcome, uniqueId } from "@waxwingspar/utils";
import { type Duty } from "../leases/DutyRunner.js";
import { type Lease } from "../leases/Lease.js";
import { ordersDuty, termKey } from "../leases/leaseRow.js";
import { LoadPermits } from "../orders/LoadPermits.js";
import { OrderSender } from "../orders/OrderSender.js";
import { type TargetPort } from "../orders/TargetPort.js";
import { withDefaults } from "../support/withDefaults.js";
import { type PlanOptions, planSite } from "./planSite.js";
import { SiteState } from "./SiteState.js";
import {
    type PlacementChange,
    type SiteOrder,
    type SitePlan,
    type SiteView,
    type UnneededVersion,
} from "./SiteView.js";

/**
 * Options of {@link SiteDuty}.
 *
 * @public
 */
export interface SiteDutyOptions {
    readonly dataCentre: string;
    readonly clock: Clock;
    /** The configuration in force in this process. */
    readonly configuration: Configuration;
    readonly store: TableStore;
    readonly targets: TargetPort;
    /** Returns the incarnation of a target's agent that membership reports as live and not leaving, if any. */
    readonly incarnationOf: (target: string) => string | undefined;
    /** Reads the latest accepted revision. The read must not be stale. */
    readonly readRevision: () => Promise<Outcome<number>>;
    /**
     * Writes a placement on condition of its version and of the guard, a row of the store that changes when another
     * process takes the duty over. A repeat after an unknown outcome uses the same change id. Returns the revision that
     * contains the change.
     */
    readonly writePlacement: (
        change: PlacementChange,
        guard: RowCondition,
        changeId: string,
    ) => Promise<Outcome<number>>;
    readonly record?: HistoryRecorder;
    readonly plan?: PlanOptions;
    /** Maximum number of loads that run at once in the whole system. */
    readonly loadLimit?: number;
    /** Milliseconds for which a target may be missing from membership before its stages are replaced. */
    readonly grace?: number;
    /**
     * Milliseconds for which a model version must have been unneeded before it is unloaded. Longer than a configuration
     * change takes to reach every process, so that no process sends new requests to it.
     */
    readonly drainDelay?: number;
    /** Milliseconds between two reports of a target that is changing. */
    readonly observeInterval?: number;
    /** Number of targets that are asked for a report in each step even if no change is expected there. */
    readonly auditedTargets?: number;
    /** Maximum number of placement changes written in one step. */
    readonly changesPerStep?: number;
    /** Called with failures, for logging. */
    readonly onFailure?: (message: string, failure: Failure) => void;
}

/**
 * A condition of a transaction: the version that a row must have.
 *
 * @public
 */
export type RowCondition = Transaction["conditions"][number];

/** The state of one term, in which this process holds the duty under one fence. */
interface Term {
    readonly fence: number;
    /** The term row that was written when the lease was acquired. It is deleted when another process takes over. */
    readonly guard: RowCondition;
    /** The revision that must be in force in this process before it plans; undefined while it has to be read. */
    requiredRevision: number | undefined;
    /** A change whose outcome is unknown and that may still take effect. */
    unresolved: UnresolvedChange | undefined;
}

interface UnresolvedChange {
    readonly change: PlacementChange;
    readonly changeId: string;
}

/** The current activity of the holder of a duty, for operators. @public */
export interface SiteStatus {
    /** The state of each placement in the pipeline state chart, by placement name. */
    readonly pipelines: ReadonlyMap<string, string>;
    /** The state of each model in the rollout state chart, by model name. */
    readonly rollouts: ReadonlyMap<string, string>;
}

const defaults = {
    plan: {},
    grace: 5_000,
    drainDelay: 10_000,
    observeInterval: 2_000,
    auditedTargets: 2,
    changesPerStep: 16,
};

/**
 * The duty of one data centre: places pipelines, loads their layers, rolls out versions, replaces failed stages and
 * unloads unneeded versions. Each step is planned only from the configuration in force and the reports of the targets.
 *
 * @public
 */
export class SiteDuty implements Duty {
    readonly name: string;
    readonly dataCentre: string;
    private readonly options: typeof defaults & SiteDutyOptions;
    private readonly sender: OrderSender;
    private permits: LoadPermits;
    private state: SiteState;
    private term: Term | undefined;
    private readonly unneededSince = new Map<string, number>();
    private auditPosition = 0;
    private latest: SiteStatus = { pipelines: new Map(), rollouts: new Map() };

    constructor(options: SiteDutyOptions) {
        this.options = withDefaults(defaults, options);
        this.name = ordersDuty(options.dataCentre);
        this.dataCentre = options.dataCentre;
        this.sender = this.createSender();
        this.permits = this.createPermits();
        this.state = this.createState();
    }

    /** The result of the last step. Empty in a process that has not held the duty. */
    get status(): SiteStatus {
        return this.latest;
    }

    async tick(lease: Lease): Promise<void> {
        if (!await this.prepareTerm(lease) || this.term === undefined) {
            return;
        }
        this.state.refresh();
        await this.observe(lease);
        const plan = planSite(this.state.view(), this.options.plan);
        this.latest = plan;
        if (!await this.writeChanges(lease, this.term, plan.changes)) {
            return;
        }
        const view = this.state.view();
        this.sender.resendUnresolved(
            lease,
            (target, incarnation) => this.options.incarnationOf(target) === incarnation,
        );
        await this.sendOrders(lease, view, plan);
        // A version that the plan lists as unneeded may be needed again on a target that has just got a new placement.
        const changed = new Set(plan.changes.flatMap(({ spec }) => spec?.stages.map(({ target }) => target) ?? []));
        this.unload(lease, view, plan.unneededVersions.filter(({ target }) => !changed.has(target)));
    }

    /**
     * Prepares this process to plan under the current fence. A new holder discards what it observed under an older
     * fence and waits until everything that earlier holders wrote is in force in this process. Otherwise it would treat
     * the versions of their latest placements as unneeded.
     *
     * @returns True if this process may plan the next step.
     */
    private async prepareTerm(lease: Lease): Promise<boolean> {
        const { fence } = lease;
        if (fence === undefined) {
            return false;
        }
        if (this.term?.fence !== fence) {
            const guard = await this.readGuard(fence);
            if (guard === undefined) {
                return false;
            }
            this.term = { fence, guard, requiredRevision: undefined, unresolved: undefined };
            this.state = this.createState();
            this.permits = this.createPermits();
            this.sender.clear();
            this.unneededSince.clear();
        }
        if (this.term.unresolved !== undefined && !await this.resolveChange(lease, this.term, this.term.unresolved)) {
            return false;
        }
        if (this.term.requiredRevision === undefined) {
            const revision = await this.options.readRevision();
            if (revision.isErr) {
                this.fail("cannot read the accepted revision", revision.error);
                return false;
            }
            this.term.requiredRevision = revision.value;
        }
        return this.options.configuration.revision >= this.term.requiredRevision;
    }

    private async readGuard(fence: number): Promise<RowCondition | undefined> {
        const row = await this.options.store.get(termKey(this.name, fence));
        if (row.isErr) {
            this.fail("cannot read the term row", row.error);
            return undefined;
        }
        // A stale read may not contain the term row yet, and a store restored from a copy may lack it.
        const { key, version } = row.value;
        return version > 0 ? { key, version } : undefined;
    }

    /**
     * Repeats a change of unknown outcome. Once the repeat is accepted, or fails because the placement has changed, the
     * original can no longer take effect.
     *
     * @returns True if the outcome is known.
     */
    private async resolveChange(lease: Lease, term: Term, doubtful: UnresolvedChange): Promise<boolean> {
        const { change, changeId } = doubtful;
        const written = await lease.checked(() => this.options.writePlacement(change, term.guard, changeId));
        if (written.isOk) {
            this.state.accept(change, written.value);
        }
        const isOpen = written.isErr && (written.error.code.retry === "later" || !lease.isHeld());
        term.unresolved = isOpen ? doubtful : undefined;
        return !isOpen;
    }

    private async observe(lease: Lease): Promise<void> {
        const due = this.dueTargets(this.state.view());
        const now = this.options.clock.now();
        await Promise.all(due.map(async target => {
            const seen = await lease.checked(fence => this.options.targets.observe(target, fence));
            if (seen.isOk) {
                this.state.recordReport(target, seen.value, now);
            }
            else {
                this.fail(`cannot get a report from target ${target}`, seen.error);
            }
        }));
    }

    /** Selects targets that are changing, pinned targets without a report, and a few others in rotation. */
    private dueTargets(view: SiteView): string[] {
        const now = this.options.clock.now();
        const changing = new Set([...this.unneededSince.keys()].map(key => parseUnneededVersion(key).target));
        for (const { spec } of view.placements) {
            if (!spec.ready) {
                spec.stages.forEach(({ target }) => changing.add(target));
            }
        }
        const targets = [...view.targets.values()].filter(({ alive }) => alive);
        const due = targets.filter(({ name, spec, observedAt }) => {
            const isDue = observedAt === undefined || now - observedAt >= this.options.observeInterval;
            return isDue && (changing.has(name) || (observedAt === undefined && spec.holds.length > 0));
        });
        const names = new Set(due.map(({ name }) => name));
        for (let count = 0; count < Math.min(this.options.auditedTargets, targets.length); count++) {
            this.auditPosition = (this.auditPosition + 1) % targets.length;
            names.add(targets[this.auditPosition]!.name);
        }
        return [...names];
    }

    /**
     * Writes changes until one fails. Later changes depend on earlier ones, and after a failure the accepted state may
     * differ from this process's view, so nothing is planned until the accepted revision is in force in this process.
     *
     * @returns True if every change was accepted.
     */
    private async writeChanges(lease: Lease, term: Term, changes: readonly PlacementChange[]): Promise<boolean> {
        for (const change of changes.slice(0, this.options.changesPerStep)) {
            const changeId = uniqueId();
            const written = await lease.checked(() => this.options.writePlacement(change, term.guard, changeId));
            if (written.isErr) {
                this.fail(`placement ${change.name} not written`, written.error);
                term.requiredRevision = undefined;
                term.unresolved = written.error.code.execution === "unknown" ? { change, changeId } : undefined;
                return false;
            }
            this.state.accept(change, written.value);
        }
        return true;
    }

    private async sendOrders(lease: Lease, view: SiteView, plan: SitePlan): Promise<void> {
        const loads = plan.orders.filter(({ action }) => action.kind === "load");
        const wanted = loads.map(order => ({ id: loadId(order), urgent: order.urgent, fits: order.fits }));
        const permits = await this.permits.update(lease, wanted);
        if (permits.isErr) {
            this.fail("cannot update the load permits", permits.error);
        }
        for (const order of plan.orders) {
            const isPermitted = order.action.kind !== "load" || (permits.isOk && permits.value.has(loadId(order)));
            if (isPermitted) {
                this.send(lease, view, order);
            }
        }
    }

    private send(lease: Lease, view: SiteView, { target, action }: Omit<SiteOrder, "urgent" | "fits">): void {
        const { observation, observedAt } = view.targets.get(target) ?? {};
        if (observation !== undefined && observedAt !== undefined) {
            const { incarnation } = observation;
            this.sender.send(lease, { target, incarnation, observedAt, action });
        }
    }

    /** Unloads the versions that have been unneeded for the drain delay and are not in use. */
    private unload(lease: Lease, view: SiteView, unneededVersions: readonly UnneededVersion[]): void {
        const now = this.options.clock.now();
        const keys = new Set(unneededVersions.map(unneeded => JSON.stringify(unneeded)));
        [...this.unneededSince.keys()].filter(key => !keys.has(key)).forEach(key => this.unneededSince.delete(key));
        for (const unneeded of unneededVersions) {
            const { target, model, version } = unneeded;
            const key = JSON.stringify(unneeded);
            const since = this.unneededSince.get(key) ?? now;
            this.unneededSince.set(key, since);
            const inUse = view.targets.get(target)?.observation?.inUse ?? [];
            const isInUse = inUse.some(used => used.model === model && used.version === version);
            if (now - since >= this.options.drainDelay && !isInUse) {
                this.send(lease, view, { target, action: { kind: "unload", model, version } });
            }
        }
    }

    private createState(): SiteState {
        const settledSince = this.sender.settledSince.bind(this.sender);
        const refusedBy = this.sender.refusedBy.bind(this.sender);
        return new SiteState({ ...this.options, settledSince, refusedBy });
    }

    private createSender(): OrderSender {
        const { clock, targets, record } = this.options;
        return new OrderSender({
            clock,
            targets,
            record,
            onFailure: (order, target, reason) => this.fail(`order ${order.id} to ${target} failed`, reason),
        });
    }

    private createPermits(): LoadPermits {
        return new LoadPermits({ store: this.options.store, limit: this.options.loadLimit });
    }

    private fail(message: string, reason: Failure): void {
        this.options.onFailure?.(message, reason);
    }
}

function parseUnneededVersion(key: string): UnneededVersion {
    return JSON.parse(key) as UnneededVersion;
}

/** Returns the id of a load, which does not change while the load is wanted, even if the duty changes its holder. */
function loadId({ target, action }: SiteOrder): string {
    return action.kind === "load"
        ? [target, action.model, action.version, action.first, action.last].join("/")
        : target;
}
