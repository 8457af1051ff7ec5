import { type Clock } from "@waxwingspar/utils";
import { type EngineReport } from "../chains/EngineControl.js";
import { type LayerRange, sameRange, type Target } from "../directory/Target.js";

/** Milliseconds after which an order without effect is sent again; the target refuses a late one by its order count. */
const orderEffectTimeout = 4_000;
/** Milliseconds for which a report of an order in progress stays valid without a newer one. */
const busyReportLifetime = 2_000;

/** The entry of a target in the directory, and when this process last saw it change, on the clock. */
export interface ListedTarget {
    readonly target: Target;
    readonly changedAt: number;
}

/** Tracks the last order to one target and its last report, which may be newer than its directory entry. */
export class TargetOrderState {
    /** Number of orders that the target is known to have accepted since its start. */
    acceptedOrders = 0;
    /** Whether an order to the target or a request for a report is in flight. */
    isCalling = false;
    /** When to request the next report, on the clock. */
    nextPoll = 0;
    private ordered: LayerRange | undefined;
    private orderedAt = 0;
    private report: EngineReport | undefined;
    private reportedAt = -Infinity;

    constructor(private readonly clock: Clock) {}

    get hasReport(): boolean {
        return this.report !== undefined;
    }

    /** Records an order that the target accepted, or whose layers it already holds. */
    recordOrder(layers: LayerRange): void {
        this.ordered = layers;
        this.orderedAt = this.clock.now();
    }

    recordReport(report: EngineReport): void {
        this.report = report;
        this.reportedAt = this.clock.now();
        this.acceptedOrders = report.orders;
    }

    /** Returns the layers that the target holds, according to the newer of its entry and its report. */
    held({ target, changedAt }: ListedTarget): LayerRange | undefined {
        return this.reportedAt > changedAt ? this.report?.layers : target.layers;
    }

    /** Returns the layers that the target holds, or those of a pending order. */
    expected(listed: ListedTarget): LayerRange | undefined {
        return this.ordered !== undefined && this.isPending(listed) ? this.ordered : this.held(listed);
    }

    /**
     * Whether an order is in progress: the target reports it, or the last one may still start. An order is complete
     * once the target's layers match it, so that the next one need not wait for {@link orderEffectTimeout}.
     */
    isPending(listed: ListedTarget): boolean {
        if (this.isComplete(listed)) {
            return false;
        }
        const now = this.clock.now();
        const isBusy = this.report?.isBusy === true && now - this.reportedAt < busyReportLifetime;
        return isBusy || (this.ordered !== undefined && now - this.orderedAt < orderEffectTimeout);
    }

    private isComplete(listed: ListedTarget): boolean {
        const shownAt = Math.max(listed.changedAt, this.reportedAt);
        const isBusy = this.report?.isBusy === true && this.reportedAt >= listed.changedAt;
        return this.ordered !== undefined && !isBusy && shownAt > this.orderedAt
            && sameRange(this.held(listed), this.ordered);
    }
}
