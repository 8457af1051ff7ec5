import { type RpcMethod } from "@waxwingspar/transport";
import { failure, requestCodes } from "@waxwingspar/utils";
import { Result } from "true-myth";
import { z } from "zod";
import { type Attempt } from "../AgentContext.js";
import { type AttemptTable } from "../AttemptTable.js";
import { StageAttempt } from "./StageAttempt.js";

/** The JSON-RPC method by which a head queries the progress of a stage. @internal */
export const stateMethodName = "stage.state";

const paramsSchema = z.object({ request: z.string(), epoch: z.number().int().nonnegative() });

/** The progress of a stage in an attempt. @internal */
export const stageStateSchema = z.object({
    /** False if the stage does not, or no longer, run the attempt. */
    open: z.boolean(),
    /** Number of positions, from the start of the sequence, whose frames have arrived in order. */
    taken: z.number().int().nonnegative(),
    /** Number of positions whose result the stage has forwarded. */
    passed: z.number().int().nonnegative(),
});

/** @internal */
export type StageState = z.infer<typeof stageStateSchema>;

/** Creates the handler of `stage.state`. @internal */
export function createStateMethod(table: AttemptTable<Attempt>): RpcMethod {
    return (params, link) => {
        const parsed = paramsSchema.safeParse(params);
        if (!parsed.success || link.peer.role !== "agent") {
            const reason = failure(requestCodes.malformed, "stage.state requires request and epoch, from agents");
            return Promise.resolve(Result.err(reason));
        }
        const attempt = table.find(parsed.data.request, parsed.data.epoch);
        const state: StageState = attempt instanceof StageAttempt
            ? { open: true, ...attempt.progress }
            : { open: false, taken: 0, passed: 0 };
        return Promise.resolve(Result.ok(state));
    };
}
