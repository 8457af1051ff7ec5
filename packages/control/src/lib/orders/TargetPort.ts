import { engineInfoSchema, type Order } from "@waxwingspar/engine";
import { type Outcome } from "@waxwingspar/utils";
import { z } from "zod";

/**
 * The report that a target's agent returns to the holder of a duty.
 *
 * @public
 */
export const targetReportSchema = z.object({
    info: engineInfoSchema,
    /** Model versions that requests are running on or queued for. */
    inUse: z.array(z.object({ model: z.string(), version: z.string() })),
});

/**
 * The type of {@link targetReportSchema}.
 *
 * @public
 */
export type TargetReport = z.infer<typeof targetReportSchema>;

/**
 * A report, and the incarnation of the agent that sent it.
 *
 * @public
 */
export interface Observation extends TargetReport {
    readonly incarnation: string;
}

/**
 * The interface through which a duty reaches the agents of the targets.
 *
 * @public
 */
export interface TargetPort {
    /**
     * Requests a report. The agent stores the fence before it answers and refuses older ones from then on, so that no
     * order of an earlier holder can change what was reported.
     *
     * @returns The report; `staleFence` if the agent has seen a higher fence.
     */
    observe(target: string, fence: number): Promise<Outcome<Observation>>;
    /**
     * Sends an order to one incarnation of an agent. Other incarnations never receive the order, since they cannot know
     * whether it has already been applied.
     *
     * @returns `notConnected` if that incarnation is no longer running and nothing was sent.
     */
    order(target: string, incarnation: string, order: Order): Promise<Outcome<void>>;
}
