import { type Configuration } from "@waxwingspar/config";
import { type Duty, type Lease, ordersDuty } from "@waxwingspar/control";
import { type HistoryRecorder } from "@waxwingspar/history";
import { type LinkPool } from "@waxwingspar/transport";
import { uniqueId } from "@waxwingspar/utils";

/** @internal */
export interface RoleDutyOptions {
    readonly dataCentre: string;
    readonly configuration: Configuration;
    readonly pool: LinkPool;
    readonly record: HistoryRecorder;
}

const orderMethod = "order.apply";
const orderTimeout = 2000;

/**
 * A duty whose holder orders every target of its data centre to serve, again and again. It looks at its lease only once
 * for all of them, which a careful holder does not do: so after a pause it goes on with an old fence, and the agents
 * beside the targets must refuse.
 *
 * @internal
 */
export class RoleDuty implements Duty {
    readonly name: string;
    readonly dataCentre: string;

    constructor(private readonly options: RoleDutyOptions) {
        this.dataCentre = options.dataCentre;
        this.name = ordersDuty(options.dataCentre);
    }

    async tick(lease: Lease): Promise<void> {
        const { fence } = lease;
        const targets = this.options.configuration.list("target")
            .filter(({ spec }) => spec.dataCentre === this.dataCentre);
        for (const { name, spec } of targets) {
            if (fence !== undefined) {
                await this.order(name, spec, fence);
            }
        }
    }

    private async order(target: string, address: { host: string; port: number; }, fence: number): Promise<void> {
        const { pool, record } = this.options;
        const link = await pool.connect(address);
        if (link.isErr) {
            return;
        }
        const id = uniqueId();
        record({ event: "order.issued", order: id, fence, target });
        const order = { id, fence, action: { kind: "setRole", role: "serving" } };
        await link.value.request(orderMethod, order, orderTimeout);
    }
}
