import { type JoinMessage, type OpenMessage } from "@waxwingspar/transport";
import { type Timeouts } from "../modelLimits.js";
import { type StagePlan } from "../stage/StageSession.js";

/** Characters of a prompt per token, to estimate the cost before the prompt is tokenized. */
const charactersPerToken = 4;

/** Estimates the number of tokens to prefill. @internal */
export function estimateCost({ prompt, produced }: OpenMessage): number {
    return Math.ceil(prompt.length / charactersPerToken) + produced.length;
}

/** Creates the plan of the head's own stage. @internal */
export function headPlan(message: OpenMessage, tokens: readonly number[], timeouts: Timeouts): StagePlan {
    const { request, epoch, model, version, adapter, priority, sampling, stages, exporters } = message;
    const index = 0;
    return { request, epoch, model, version, adapter, priority, sampling, stages, exporters, index, tokens, timeouts };
}

/** Creates the `join` message for the later stages, without the index of the stage. @internal */
export function joinRequest(
    message: OpenMessage,
    tokens: number[],
    timeLeft: number,
    traceparent: string | undefined,
): Omit<JoinMessage, "index"> {
    const { request, epoch, model, version, adapter, organisation, priority, sampling, stages, exporters } = message;
    return {
        type: "join",
        request,
        epoch,
        model,
        version,
        adapter,
        organisation,
        priority,
        timeLeft,
        sampling,
        stages,
        exporters,
        tokens,
        traceparent,
    };
}
