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
import { type Leftover, type PlacementChange, type SiteOrder, type SitePlan, type SiteView } from "./SiteView.js";

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
    /** The start of a target's agent that membership knows to be live and not leaving, if any. */
    readonly incarnationOf: (target: string) => string | undefined;
    /** The latest accepted revision, from the store itself and not from a read that may be stale. */
    readonly readRevision: () => Promise<Outcome<number>>;
    /**
     * Writes a placement on condition of its version, and of a row of the store that changes when another process takes
     * the duty over. A repeat after an unknown outcome has the same id. Returns the revision that holds the change.
     */
    readonly writePlacement: (
        change: PlacementChange,
        guard: RowCondition,
        changeId: string,
    ) => Promise<Outcome<number>>;
    readonly record?: HistoryRecorder;
    readonly plan?: PlanOptions;
    /** How many loads may run at once in the whole system. */
    readonly loadLimit?: number;
    /** Milliseconds for which membership may miss a target before its stages are replaced. */
    readonly grace?: number;
    /**
     * Milliseconds for which a model version must have been unneeded and unused before it is unloaded. Longer than a
     * change takes to be in force everywhere, so that no process sends new requests to it.
     */
    readonly drainDelay?: number;
    /** Milliseconds between two reports of a target that is changing. */
    readonly observeInterval?: number;
    /** Targets that are asked for a report in each step although nothing is known to change there. */
    readonly auditedTargets?: number;
    /** Changes of placements written in one step. */
    readonly changesPerStep?: number;
    /** Is told of failures, for logs. */
    readonly onFailure?: (message: string, failure: Failure) => void;
}

/**
 * A condition of a transaction: the version that a row must have.
 *
 * @public
 */
export type RowCondition = Transaction["conditions"][number];

/** One holding of the duty. */
interface Term {
    readonly fence: number;
    /** The fence row as it was written when the lease was taken. */
    readonly guard: RowCondition;
    /** What must be in force here before anything is decided; undefined while it has to be read. */
    requiredRevision: number | undefined;
    /** A change whose outcome is unknown, and which may still take effect. */
    doubtful: DoubtfulChange | undefined;
}

interface DoubtfulChange {
    readonly change: PlacementChange;
    readonly changeId: string;
}

/** What a duty's holder is doing, for operators. @public */
export interface SiteStatus {
    /** The state of each placement in the chart of pipelines. */
    readonly pipelines: ReadonlyMap<string, string>;
    /** The state of each model in the chart of rollouts. */
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
 * The duty of one data centre: places pipelines, loads what they need, rolls out versions, replaces failed stages and
 * unloads what is left over. Each step is planned from the configuration in force and the targets' reports alone.
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

    /** What the last step found. Empty in a process that does not hold the duty. */
    get status(): SiteStatus {
        return this.latest;
    }

    async tick(lease: Lease): Promise<void> {
        if (!await this.isPrepared(lease) || this.term === undefined) {
            return;
        }
        this.state.refresh();
        await this.observe(lease);
        const plan = planSite(this.state.view(), this.options.plan);
        this.latest = plan;
        if (!await this.write(lease, this.term, plan.changes)) {
            return;
        }
        const view = this.state.view();
        this.sender.resolve(lease, (target, incarnation) => this.options.incarnationOf(target) === incarnation);
        await this.sendOrders(lease, view, plan);
        // A target on which something was placed just now may need again what was left over.
        const changed = new Set(plan.changes.flatMap(({ spec }) => spec?.stages.map(({ target }) => target) ?? []));
        this.unload(lease, view, plan.leftovers.filter(({ target }) => !changed.has(target)));
    }

    /**
     * A new holder forgets what it saw under an older fence, and waits until everything that earlier holders wrote is in
     * force here. Otherwise it would take their latest placements for leftovers.
     */
    private async isPrepared(lease: Lease): Promise<boolean> {
        const { fence } = lease;
        if (fence === undefined) {
            return false;
        }
        if (this.term?.fence !== fence) {
            const guard = await this.readGuard(fence);
            if (guard === undefined) {
                return false;
            }
            this.term = { fence, guard, requiredRevision: undefined, doubtful: undefined };
            this.state = this.createState();
            this.permits = this.createPermits();
            this.sender.clear();
            this.unneededSince.clear();
        }
        if (this.term.doubtful !== undefined && !await this.resolveDoubt(lease, this.term, this.term.doubtful)) {
            return false;
        }
        if (this.term.requiredRevision === undefined) {
            const revision = await this.options.readRevision();
            if (revision.isErr) {
                this.fail("revision not read", revision.error);
                return false;
            }
            this.term.requiredRevision = revision.value;
        }
        return this.options.configuration.revision >= this.term.requiredRevision;
    }

    private async readGuard(fence: number): Promise<RowCondition | undefined> {
        const row = await this.options.store.get(termKey(this.name, fence));
        if (row.isErr) {
            this.fail("fence not read", row.error);
            return undefined;
        }
        // A stale read does not show the term yet, and a store that came back from a copy may lack it.
        const { key, version } = row.value;
        return version > 0 ? { key, version } : undefined;
    }

    /**
     * Repeats a change until its outcome is known. Once the repeat is accepted, or fails since the placement has changed,
     * the lost one can no longer take effect.
     *
     * @returns True when nothing is in doubt any more.
     */
    private async resolveDoubt(lease: Lease, term: Term, doubtful: DoubtfulChange): Promise<boolean> {
        const { change, changeId } = doubtful;
        const written = await lease.checked(() => this.options.writePlacement(change, term.guard, changeId));
        if (written.isOk) {
            this.state.accept(change, written.value);
        }
        const isOpen = written.isErr && (written.error.code.retry === "later" || !lease.isHeld());
        term.doubtful = isOpen ? doubtful : undefined;
        return !isOpen;
    }

    private async observe(lease: Lease): Promise<void> {
        const due = this.dueTargets(this.state.view());
        const now = this.options.clock.now();
        await Promise.all(due.map(async target => {
            const seen = await lease.checked(fence => this.options.targets.observe(target, fence));
            if (seen.isOk) {
                this.state.report(target, seen.value, now);
            }
            else {
                this.fail(`target ${target} not observed`, seen.error);
            }
        }));
    }

    /** Targets where something changes, those never seen that are needed, and a few others in turn. */
    private dueTargets(view: SiteView): string[] {
        const now = this.options.clock.now();
        const changing = new Set([...this.unneededSince.keys()].map(key => parseLeftover(key).target));
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
     * Writes changes until one fails. After a failure what is in force may differ from what this process believes, and
     * later changes rest on earlier ones, so nothing is decided before the accepted revision is in force here.
     */
    private async write(lease: Lease, term: Term, changes: readonly PlacementChange[]): Promise<boolean> {
        for (const change of changes.slice(0, this.options.changesPerStep)) {
            const changeId = uniqueId();
            const written = await lease.checked(() => this.options.writePlacement(change, term.guard, changeId));
            if (written.isErr) {
                this.fail(`placement ${change.name} not written`, written.error);
                term.requiredRevision = undefined;
                term.doubtful = written.error.code.execution === "unknown" ? { change, changeId } : undefined;
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
            this.fail("permits not updated", permits.error);
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

    /** Unloads what has been unneeded for long enough and is not in use. */
    private unload(lease: Lease, view: SiteView, leftovers: readonly Leftover[]): void {
        const now = this.options.clock.now();
        const keys = new Set(leftovers.map(leftover => JSON.stringify(leftover)));
        [...this.unneededSince.keys()].filter(key => !keys.has(key)).forEach(key => this.unneededSince.delete(key));
        for (const leftover of leftovers) {
            const { target, model, version } = leftover;
            const key = JSON.stringify(leftover);
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

function parseLeftover(key: string): Leftover {
    return JSON.parse(key) as Leftover;
}

/** The same for as long as the load is wanted, whoever holds the duty. */
function loadId({ target, action }: SiteOrder): string {
    return action.kind === "load"
        ? [target, action.model, action.version, action.first, action.last].join("/")
        : target;
}
