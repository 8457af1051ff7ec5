import { type Order } from "@waxwingspar/engine";
import { type Address, type Link, type LinkPool } from "@waxwingspar/transport";
import { failure, type Outcome, transportCodes } from "@waxwingspar/utils";
import { Result } from "true-myth";
import { withDefaults } from "../support/withDefaults.js";
import { type Observation, type TargetPort, targetReportSchema } from "./TargetPort.js";

/** The JSON-RPC method that applies an order; its parameters are the order. @public */
export const orderMethodName = "order.apply";

/** The JSON-RPC method that reports on a target; see {@link createObserveMethod}. @public */
export const observeMethodName = "target.observe";

/**
 * Options of {@link LinkTargetPort}.
 *
 * @public
 */
export interface LinkTargetPortOptions {
    readonly pool: LinkPool;
    /** Returns the address of a target's agent, or undefined for a target that is not declared. */
    readonly addressOf: (target: string) => Address | undefined;
    /** Milliseconds to wait for a report. */
    readonly observeTimeout?: number;
    /** Milliseconds to wait for the result of an order. An order that takes longer is sent again with the same id. */
    readonly orderTimeout?: number;
}

/**
 * A {@link TargetPort} that reaches the agents over links between processes.
 *
 * @public
 */
export class LinkTargetPort implements TargetPort {
    private readonly options: Required<LinkTargetPortOptions>;

    constructor(options: LinkTargetPortOptions) {
        this.options = withDefaults({ observeTimeout: 2_000, orderTimeout: 30_000 }, options);
    }

    async observe(target: string, fence: number): Promise<Outcome<Observation>> {
        const link = await this.connect(target);
        if (link.isErr) {
            return Result.err(link.error);
        }
        const answer = await link.value.request(observeMethodName, { fence }, this.options.observeTimeout);
        if (answer.isErr) {
            return Result.err(answer.error);
        }
        const report = targetReportSchema.safeParse(answer.value);
        return report.success
            ? Result.ok({ ...report.data, incarnation: link.value.peer.incarnation })
            : Result.err(
                failure(transportCodes.protocolViolation, `the report of ${target} does not match the schema`),
            );
    }

    async order(target: string, incarnation: string, order: Order): Promise<Outcome<void>> {
        const link = await this.connect(target);
        if (link.isErr) {
            return Result.err(link.error);
        }
        if (link.value.peer.incarnation !== incarnation) {
            return Result.err(failure(transportCodes.notConnected, `the agent of ${target} has been restarted`));
        }
        const answer = await link.value.request(orderMethodName, order, this.options.orderTimeout);
        return answer.map(() => undefined);
    }

    private connect(target: string): Promise<Outcome<Link>> {
        const address = this.options.addressOf(target);
        return address === undefined
            ? Promise.resolve(Result.err(failure(transportCodes.notConnected, `target ${target} is not declared`)))
            : this.options.pool.connect(address);
    }
}
