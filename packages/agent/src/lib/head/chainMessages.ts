import { type JoinMessage, type OpenMessage } from "@waxwingspar/transport";
import { type Timeouts } from "../modelLimits.js";
import { type StagePlan } from "../stage/StageSession.js";

/** Characters of prompt for one token, to estimate the cost before the prompt is read. */
const charactersPerToken = 4;

/** About how many tokens must be prefilled. @internal */
export function estimateCost({ prompt, produced }: OpenMessage): number {
    return Math.ceil(prompt.length / charactersPerToken) + produced.length;
}

/** What the head's own stage must know. @internal */
export function headPlan(message: OpenMessage, tokens: readonly number[], timeouts: Timeouts): StagePlan {
    const { request, epoch, model, version, adapter, priority, sampling, stages, exporters } = message;
    const index = 0;
    return { request, epoch, model, version, adapter, priority, sampling, stages, exporters, index, tokens, timeouts };
}

/** What the head asks of the later stages. @internal */
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
