import { type Tracer } from "@opentelemetry/api";
import { type Claims } from "@waxwingspar/claims";
import { type Configuration } from "@waxwingspar/config";
import { type HistoryRecorder } from "@waxwingspar/history";
import { type RetryBudget, type Router } from "@waxwingspar/policy";
import { type Clock, type Failure, failure, type Outcome, requestCodes } from "@waxwingspar/utils";
import { createHash } from "node:crypto";
import { Result } from "true-myth";
import { type Caller } from "../callers/Authenticator.js";
import { malformed, readRequestHeaders, type RequestHeaders } from "../callers/requestHeaders.js";
import { type EntryLimits } from "../EntryLimits.js";
import { type EntryMetrics } from "../EntryMetrics.js";
import { type Exchange } from "../http/Exchange.js";
import { PacedWriter } from "../http/PacedWriter.js";
import { readRequestBody } from "../http/readRequestBody.js";
import { type ReplyMemory } from "../http/ReplyMemory.js";
import { type AgentLinks } from "../links/AgentLinks.js";
import { ClaimBinding, type FindFinalOutcome, type UnboundClaimRequest } from "../links/ClaimBinding.js";
import { type OpenRequest, stoppedFailure } from "../OpenRequests.js";
import { type ModelVersions } from "../versions/ModelVersions.js";
import { AnswerFormat } from "./AnswerFormat.js";
import { StreamedAnswer, WholeAnswer } from "./answerSinks.js";
import { chatSchema, type CompletionRequest, completionSchema, fromChat, fromCompletion } from "./completionsSchema.js";
import { findModel, type ModelChoice } from "./findModel.js";
import { forVersion, type ModelRequest } from "./ModelRequest.js";
import { RequestRun } from "./RequestRun.js";

/**
 * Services that the routes of an entry depend on.
 *
 * @internal
 */
export interface RouteServices {
    readonly configuration: Configuration;
    readonly links: AgentLinks;
    readonly router: Router;
    readonly retryBudget: RetryBudget;
    readonly claims: Claims;
    readonly findFinalOutcome?: FindFinalOutcome;
    readonly clock: Clock;
    readonly history: HistoryRecorder;
    readonly metrics: EntryMetrics;
    readonly limits: EntryLimits;
    readonly tracer: Tracer;
    readonly replies: ReplyMemory;
    readonly versions: ModelVersions;
}

/**
 * Answers POST /v1/chat/completions and POST /v1/completions.
 *
 * @param open - The request's entry among the requests in progress; the route sets its abort handler.
 * @returns Resolves once the run of the request has started, or the request has been refused.
 * @internal
 */
export async function completionsRoute(
    services: RouteServices,
    exchange: Exchange,
    caller: Caller,
    open: OpenRequest,
): Promise<void> {
    const body = await readRequestBody(exchange, services.limits.maxBodyBytes);
    const chat = exchange.path.endsWith("/chat/completions");
    const parsed = body.andThen(data => parseBody(data, chat));
    const prepared = parsed.andThen(completion => prepare(services, exchange, caller, completion));
    if (prepared.isErr) {
        return exchange.refuse(prepared.error);
    }
    if (exchange.isOver) {
        return;
    }
    startRun(services, exchange, prepared.value, chat, open);
}

interface PreparedRequest {
    readonly completion: CompletionRequest;
    readonly request: ModelRequest;
    readonly key: string | undefined;
}

function startRun(
    services: RouteServices,
    exchange: Exchange,
    { completion, request, key }: PreparedRequest,
    chat: boolean,
    open: OpenRequest,
): void {
    const { clock, history, limits } = services;
    history({
        event: "request.received",
        request: request.id,
        organisation: request.organisation,
        route: request.model,
        callerRequest: exchange.callerRequest,
        idempotent: request.claim === undefined,
        key,
    });
    const writer = new PacedWriter({
        response: exchange.response,
        clock,
        stallTimeout: limits.writeStallTimeout,
        memory: services.replies,
        onDrain: () => run.resume(),
    });
    const created = Math.floor(clock.date().getTime() / 1000);
    const format = new AnswerFormat({ id: request.id, model: completion.model, created, chat });
    const sink = completion.stream
        ? new StreamedAnswer({ exchange, format, writer, includeUsage: completion.includeUsage })
        : new WholeAnswer({ exchange, format, writer });
    const claimRequest = request.claim;
    const binding = claimRequest === undefined ? undefined : new ClaimBinding({ ...services, claimRequest });
    const run = new RequestRun({ ...services, request, sink, binding, span: open.span, onEnd: () => open.answered() });
    open.onAbort(() => run.cancel(stoppedFailure(run.mayHaveRun)));
    exchange.onDisconnect(() => run.cancel(failure(requestCodes.cancelled, "the caller disconnected")));
    run.start();
}

function parseBody(data: Uint8Array, chat: boolean): Outcome<CompletionRequest> {
    let json: unknown;
    try {
        json = JSON.parse(new TextDecoder("utf-8", { fatal: true }).decode(data));
    }
    catch {
        return Result.err(failure(requestCodes.malformed, "the body is not JSON"));
    }
    if (chat) {
        const parsed = chatSchema.safeParse(json);
        return parsed.success ? Result.ok(fromChat(parsed.data)) : Result.err(malformed(parsed.error));
    }
    const parsed = completionSchema.safeParse(json);
    return parsed.success ? Result.ok(fromCompletion(parsed.data)) : Result.err(malformed(parsed.error));
}

function prepare(
    { configuration, limits, versions }: RouteServices,
    exchange: Exchange,
    caller: Caller,
    completion: CompletionRequest,
): Outcome<PreparedRequest> {
    const model = findModel(configuration, caller, completion.model);
    if (model.isErr) {
        return Result.err(model.error);
    }
    const headers = readRequestHeaders(exchange, caller.spec, limits.requestTimeout);
    if (headers.isErr) {
        return Result.err(headers.error);
    }
    const { key, nonIdempotent } = headers.value;
    if (nonIdempotent && key === undefined) {
        return Result.err(keyMissing());
    }
    const request = toModelRequest(exchange, caller, completion, model.value, headers.value);
    const { name, adapter, spec } = model.value;
    const [version = spec.current] = versions.rank(name, adapter);
    return Result.ok({ completion, request: forVersion(request, version), key });
}

function toModelRequest(
    exchange: Exchange,
    caller: Caller,
    completion: CompletionRequest,
    { name, adapter, spec }: ModelChoice,
    headers: RequestHeaders,
): Omit<ModelRequest, "version" | "prefix"> {
    const { prompt, sampling } = completion;
    return {
        id: exchange.id,
        organisation: caller.organisation,
        model: name,
        adapter,
        layers: spec.layers,
        activationBytes: spec.activationBytes,
        firstTokenBound: spec.firstTokenBound,
        priority: headers.priority,
        prompt,
        sampling: { ...sampling, maxTokens: Math.min(sampling.maxTokens, spec.contextTokens) },
        arrived: exchange.arrived,
        deadline: headers.deadline,
        claim: claimOf(caller, completion, headers, name),
    };
}

/** Hours for which the claim of a model request is retained. */
const claimHours = 24;
const hour = 3_600_000;

function claimOf(
    caller: Caller,
    completion: CompletionRequest,
    { key, nonIdempotent }: RequestHeaders,
    route: string,
): UnboundClaimRequest | undefined {
    if (!nonIdempotent || key === undefined) {
        return undefined;
    }
    const { model, prompt, sampling } = completion;
    const digest = createHash("sha256").update(JSON.stringify([model, prompt, sampling])).digest("hex");
    return { route, organisation: caller.organisation, key, digest, retention: claimHours * hour };
}

/** @internal */
export function keyMissing(): Failure {
    return failure(requestCodes.keyMissing, "a request that is not idempotent needs an Idempotency-Key header", {
        path: "Idempotency-Key",
    });
}
