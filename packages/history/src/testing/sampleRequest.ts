import { type HistoryEvent } from "../lib/HistoryEvent.js";
import { type HistoryBuilder } from "./HistoryBuilder.js";

/** A stage of a sample request. */
export interface SampleStage {
    readonly target: string;
    readonly first: number;
    readonly last: number;
    /** Positions that the stage has in its prefix cache; it may be more than the minimum of its chain. */
    readonly cached: number;
}

/** One attempt of a sample request. */
export interface SampleAttempt {
    readonly stages: readonly SampleStage[];
    /** Number of tokens of the answer that the attempt delivers. */
    readonly tokens: number;
}

/** A model request without violations. */
export interface SampleRequest {
    readonly request: string;
    readonly entry: string;
    readonly layers: number;
    readonly promptTokens: number;
    /** Maximum number of positions in one prefill step. */
    readonly chunk: number;
    readonly attempts: readonly SampleAttempt[];
    readonly key?: string;
    readonly idempotent?: boolean;
}

const version = "7";

/** Adds the lines of a model request, including those of its caller. */
export function addSampleRequest(history: HistoryBuilder, sample: SampleRequest): void {
    const { request, entry, key, idempotent = true } = sample;
    const callerRequest = `caller ${request}`;
    history.add("caller", { event: "caller.sent", callerRequest, idempotent, key });
    history.add(entry, {
        event: "request.received",
        request,
        organisation: "depot",
        route: "demo",
        callerRequest,
        idempotent,
        key,
    });
    let delivered = 0;
    for (const [epoch, attempt] of sample.attempts.entries()) {
        addAttempt(history, sample, epoch, attempt, delivered);
        delivered += attempt.tokens;
    }
    history.add(entry, { event: "request.ended", request, outcome: "completed", tokens: delivered });
    history.add("caller", {
        event: "caller.ended",
        callerRequest,
        outcome: "completed",
        digest: `digest ${request}`,
        expected: `digest ${request}`,
    });
}

function addAttempt(
    history: HistoryBuilder,
    sample: SampleRequest,
    epoch: number,
    { stages, tokens }: SampleAttempt,
    delivered: number,
): void {
    const { request, entry, layers, promptTokens, chunk } = sample;
    const targets = stages.map(({ target }) => target);
    history.add(entry, { event: "attempt.started", request, epoch, targets, resumeAt: delivered });
    for (const { target } of stages) {
        history.add(target, { event: "work.accepted", request, epoch, target });
    }
    history.add(targets[0] ?? entry, { event: "prompt.read", request, epoch, tokens: promptTokens, layers });
    for (const { target, first, last, cached } of stages.filter(stage => stage.cached > 0)) {
        history.add(target, {
            event: "layers.reused",
            request,
            epoch,
            target,
            first,
            last,
            count: cached,
            from: "prefix",
            version,
        });
    }
    const start = Math.min(...stages.map(({ cached }) => cached));
    const prefillEnd = promptTokens + delivered;
    for (let position = start; position < prefillEnd; position += chunk) {
        addRun(history, request, epoch, stages, position, Math.min(chunk, prefillEnd - position));
    }
    for (let token = 0; token < tokens; token++) {
        const position = delivered + token;
        if (token > 0) {
            addRun(history, request, epoch, stages, promptTokens + position - 1, 1);
        }
        history.add(entry, { event: "tokens.sent", request, epoch, position, ids: [position] });
    }
}

function addRun(
    history: HistoryBuilder,
    request: string,
    epoch: number,
    stages: readonly SampleStage[],
    position: number,
    count: number,
): void {
    for (const { target, first, last } of stages) {
        const run: HistoryEvent = {
            event: "layers.run",
            request,
            epoch,
            target,
            version,
            first,
            last,
            position,
            count,
        };
        history.add(target, run);
    }
}
