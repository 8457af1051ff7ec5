import { type Clock } from "@waxwingspar/utils";
import { type EngineReport } from "../chains/EngineControl.js";
import { type LayerRange, sameRange, type Target } from "../directory/Target.js";

/** Milliseconds after which an order without effect is given again; a late one is refused by its count of orders. */
const orderPatience = 4_000;
/** Milliseconds for which a report of an order in progress is believed without a newer one. */
const busyTrust = 2_000;

/** A target as the platform lists it, and when its entry last changed here, on the clock. */
export interface ListedTarget {
    readonly target: Target;
    readonly changedAt: number;
}

/** What the placement duty knows of one target beyond its entry in the list: its last order and its last report. */
export class TargetWork {
    /** Orders that the target is known to have accepted since its start. */
    acceptedOrders = 0;
    /** True while an order or a report is under way to the target. */
    isCalling = false;
    /** When to ask for the next report, on the clock. */
    nextPoll = 0;
    private ordered: LayerRange | undefined;
    private orderedAt = 0;
    private report: EngineReport | undefined;
    private reportedAt = -Infinity;

    constructor(private readonly clock: Clock) {}

    get hasReport(): boolean {
        return this.report !== undefined;
    }

    /** The target took an order, or has not answered it. */
    recordOrder(layers: LayerRange): void {
        this.ordered = layers;
        this.orderedAt = this.clock.now();
    }

    recordReport(report: EngineReport): void {
        this.report = report;
        this.reportedAt = this.clock.now();
        this.acceptedOrders = report.orders;
    }

    /** The layers that the target holds, by the newer of its entry and its report. */
    held({ target, changedAt }: ListedTarget): LayerRange | undefined {
        return this.reportedAt > changedAt ? this.report?.layers : target.layers;
    }

    /** The layers that the target holds, or is about to hold once an order is through. */
    expected(listed: ListedTarget): LayerRange | undefined {
        return this.ordered !== undefined && this.isPending(listed) ? this.ordered : this.held(listed);
    }

    /**
     * True while an order is under way: the target says so, or the last one may still begin. An order that the target's
     * layers already show is through, so the target can be given another one at once instead of after
     * {@link orderPatience}: on a day whose targets were replaced one by one, no data centre had a whole chain for 4 s.
     */
    isPending(listed: ListedTarget): boolean {
        if (this.isThrough(listed)) {
            return false;
        }
        const now = this.clock.now();
        const isBusy = this.report?.isBusy === true && now - this.reportedAt < busyTrust;
        return isBusy || (this.ordered !== undefined && now - this.orderedAt < orderPatience);
    }

    private isThrough(listed: ListedTarget): boolean {
        const shownAt = Math.max(listed.changedAt, this.reportedAt);
        const isBusy = this.report?.isBusy === true && this.reportedAt >= listed.changedAt;
        return this.ordered !== undefined && !isBusy && shownAt > this.orderedAt
            && sameRange(this.held(listed), this.ordered);
    }
}
