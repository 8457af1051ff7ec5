import { type Duty, type Lease, ordersDuty } from "@waxwingspar/control";
import { type HistoryRecorder } from "@waxwingspar/history";
import { type Address, type LinkPool } from "@waxwingspar/transport";
import { platformCodes, uniqueId } from "@waxwingspar/utils";
import { setTimeout as pause } from "node:timers/promises";

/** A target and the address of its agent. @internal */
export interface TargetAddress extends Address {
    readonly name: string;
}

/** @internal */
export interface StaleLeaseDutyOptions {
    readonly dataCentre: string;
    readonly targets: readonly TargetAddress[];
    readonly pool: LinkPool;
    readonly record: HistoryRecorder;
    /** Called for each order that a target rejects because of its stale fencing token. */
    readonly onStaleFence: () => void;
}

const orderMethod = "order.apply";
/** Milliseconds. */
const orderTimeout = 2000;
/**
 * Milliseconds between two orders, so that a pause of the process usually falls between the check of the lease and an
 * order.
 */
const orderPause = 150;

/**
 * A duty whose holder repeatedly orders every target of its data centre to serve. It deliberately reads its lease only
 * once per round instead of before each order: after a pause of the process it continues with a stale fencing token, and
 * the agents of the targets must reject those orders.
 *
 * @internal
 */
export class StaleLeaseDuty implements Duty {
    readonly name: string;
    readonly dataCentre: string;

    constructor(private readonly options: StaleLeaseDutyOptions) {
        this.dataCentre = options.dataCentre;
        this.name = ordersDuty(options.dataCentre);
    }

    async tick(lease: Lease): Promise<void> {
        const { fence } = lease;
        if (fence === undefined) {
            return;
        }
        for (const target of this.options.targets) {
            await this.order(target, fence);
            await pause(orderPause);
        }
    }

    private async order(target: TargetAddress, fence: number): Promise<void> {
        const { pool, record, onStaleFence } = this.options;
        const link = await pool.connect(target);
        if (link.isErr) {
            return;
        }
        const id = uniqueId();
        record({ event: "order.issued", order: id, fence, target: target.name });
        const order = { id, fence, action: { kind: "setRole", role: "serving" } };
        const answer = await link.value.request(orderMethod, order, orderTimeout);
        if (answer.isErr && answer.error.code === platformCodes.staleFence) {
            onStaleFence();
        }
    }
}
