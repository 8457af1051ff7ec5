import { type Duty, type Lease, ordersDuty } from "@waxwingspar/control";
import { type HistoryRecorder } from "@waxwingspar/history";
import { type Address, type LinkPool } from "@waxwingspar/transport";
import { uniqueId } from "@waxwingspar/utils";

/** A target, and where its agent is found. @internal */
export interface OrderedTarget extends Address {
    readonly name: string;
}

/** @internal */
export interface CarelessDutyOptions {
    readonly dataCentre: string;
    readonly targets: readonly OrderedTarget[];
    readonly pool: LinkPool;
    readonly record: HistoryRecorder;
}

const orderMethod = "order.apply";
const orderTimeout = 2000;

/**
 * A duty whose holder orders every target of its data centre to serve, again and again. It looks at its lease once for
 * all of them, which a careful holder does not do: after a pause it goes on with an old fence, and the agents beside the
 * targets must refuse.
 *
 * @internal
 */
export class CarelessDuty implements Duty {
    readonly name: string;
    readonly dataCentre: string;

    constructor(private readonly options: CarelessDutyOptions) {
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
        }
    }

    private async order(target: OrderedTarget, fence: number): Promise<void> {
        const { pool, record } = this.options;
        const link = await pool.connect(target);
        if (link.isErr) {
            return;
        }
        const id = uniqueId();
        record({ event: "order.issued", order: id, fence, target: target.name });
        await link.value.request(
            orderMethod,
            { id, fence, action: { kind: "setRole", role: "serving" } },
            orderTimeout,
        );
    }
}
