import { engineInfoSchema, type Order } from "@waxwingspar/engine";
import { type Outcome } from "@waxwingspar/utils";
import { z } from "zod";

/**
 * What the agent beside a target reports when a duty asks.
 *
 * @public
 */
export const targetReportSchema = z.object({
    info: engineInfoSchema,
    /** Model versions that requests are running on or waiting for. */
    inUse: z.array(z.object({ model: z.string(), version: z.string() })),
});

/**
 * The type of {@link targetReportSchema}.
 *
 * @public
 */
export type TargetReport = z.infer<typeof targetReportSchema>;

/**
 * A report, and which start of the agent gave it.
 *
 * @public
 */
export interface Observation extends TargetReport {
    readonly incarnation: string;
}

/**
 * The way to the agents beside the targets.
 *
 * @public
 */
export interface TargetPort {
    /**
     * Asks for a report. The agent notes the fence before it answers and refuses older ones from then on, so that no
     * order of an earlier holder can change what was reported.
     *
     * @returns The report; `staleFence` if the agent has seen a higher fence.
     */
    observe(target: string, fence: number): Promise<Outcome<Observation>>;
    /**
     * Sends an order to one start of an agent. Another start of it never gets the order, since it cannot know whether
     * it was carried out before.
     *
     * @returns `notConnected` if that start of the agent is gone and nothing was sent.
     */
    order(target: string, incarnation: string, order: Order): Promise<Outcome<void>>;
}
