import { type RpcMethod } from "@waxwingspar/transport";
import { failure, requestCodes } from "@waxwingspar/utils";
import { Result } from "true-myth";
import { z } from "zod";
import { type Attempt } from "../AgentContext.js";
import { type AttemptTable } from "../AttemptTable.js";
import { StageAttempt } from "./StageAttempt.js";

/** The JSON-RPC method by which a head asks a stage how far it is. @internal */
export const stateMethodName = "stage.state";

const paramsSchema = z.object({ request: z.string(), epoch: z.number().int().nonnegative() });

/** How far a stage is with an attempt. @internal */
export const stageStateSchema = z.object({
    /** False when the stage takes no part in the attempt (any more). */
    open: z.boolean(),
    /** Positions (from the start of the sequence) whose frames have arrived in order. */
    taken: z.number().int().nonnegative(),
    /** Positions whose result the stage has passed on. */
    passed: z.number().int().nonnegative(),
});

/** @internal */
export type StageState = z.infer<typeof stageStateSchema>;

/** Answers `stage.state`. @internal */
export function createStateMethod(table: AttemptTable<Attempt>): RpcMethod {
    return (params, link) => {
        const parsed = paramsSchema.safeParse(params);
        if (!parsed.success || link.peer.role !== "agent") {
            const reason = failure(requestCodes.malformed, "stage.state takes request and epoch, from agents");
            return Promise.resolve(Result.err(reason));
        }
        const attempt = table.find(parsed.data.request, parsed.data.epoch);
        const state: StageState = attempt instanceof StageAttempt
            ? { open: true, ...attempt.progress }
            : { open: false, taken: 0, passed: 0 };
        return Promise.resolve(Result.ok(state));
    };
}
