import { type Engine } from "@waxwingspar/engine";
import { type RpcMethod } from "@waxwingspar/transport";
import { failure, type Outcome, requestCodes } from "@waxwingspar/utils";
import { Result } from "true-myth";
import { z } from "zod";
import { type TargetReport } from "./TargetPort.js";

/**
 * Options of {@link createObserveMethod}.
 *
 * @public
 */
export interface ObserveMethodOptions {
    readonly engine: Pick<Engine, "info">;
    /** Stores a fence in the agent; fails with `staleFence` if the agent has seen a higher one. */
    readonly noteFence: (fence: number) => Outcome<void>;
    /** Returns the model versions that requests are running on or queued for. */
    readonly inUse: () => TargetReport["inUse"];
}

const parametersSchema = z.object({ fence: z.number().int() });

/**
 * Creates the agent's side of {@link TargetPort.observe}.
 *
 * @public
 */
export function createObserveMethod(options: ObserveMethodOptions): RpcMethod {
    return async params => {
        const parsed = parametersSchema.safeParse(params);
        if (!parsed.success) {
            return Result.err(failure(requestCodes.malformed, "expected a report request with an integer fence"));
        }
        const noted = options.noteFence(parsed.data.fence);
        if (noted.isErr) {
            return Result.err(noted.error);
        }
        const info = await options.engine.info();
        return info.map((found): TargetReport => ({ info: found, inUse: options.inUse() }));
    };
}
