import { type Resource } from "@waxwingspar/config";
import { failure, type Outcome, requestCodes } from "@waxwingspar/utils";
import { createHash } from "node:crypto";
import { Result } from "true-myth";
import { type Caller } from "../callers/Authenticator.js";
import { readRequestHeaders, type RequestHeaders } from "../callers/requestHeaders.js";
import { type Exchange } from "../http/Exchange.js";
import { PacedWriter } from "../http/PacedWriter.js";
import { readRequestBody } from "../http/readRequestBody.js";
import { ClaimBinding, type UnboundClaimRequest } from "../links/ClaimBinding.js";
import { keyMissing, type RouteServices } from "../models/completionsRoute.js";
import { mayUse } from "../models/findModel.js";
import { type OpenRequest, stoppedFailure } from "../OpenRequests.js";
import { type ReplySink, ServiceCall, type ServiceRequest } from "./ServiceCall.js";
import { forwardedHeaders } from "./serviceHeaders.js";
import { isNonIdempotent, parseServicePath, type ServicePath } from "./servicePath.js";

interface CheckedCall {
    readonly path: ServicePath;
    readonly service: Resource<"service">;
    readonly headers: RequestHeaders;
    readonly nonIdempotent: boolean;
}

/**
 * Answers any method on /services/NAME/... by forwarding the call to one of the service's targets.
 *
 * @param open - The call's entry among the requests in progress; the route sets its abort handler.
 * @internal
 */
export async function serviceRoute(
    services: RouteServices,
    exchange: Exchange,
    caller: Caller,
    open: OpenRequest,
): Promise<void> {
    const checked = check(services, exchange, caller);
    if (checked.isErr) {
        return exchange.refuse(checked.error);
    }
    const body = await readRequestBody(exchange, checked.value.service.spec.maxBody);
    if (body.isErr) {
        return exchange.refuse(body.error);
    }
    if (!exchange.isOver) {
        startCall(services, exchange, caller, checked.value, body.value, open);
    }
}

function check({ configuration }: RouteServices, exchange: Exchange, caller: Caller): Outcome<CheckedCall> {
    const path = parseServicePath(exchange.target);
    const service = path === undefined ? undefined : configuration.get("service", path.service);
    if (path === undefined || service === undefined) {
        return Result.err(failure(requestCodes.noSuchRoute, "no service has this name or path", { path: "service" }));
    }
    if (!mayUse(caller, service.name)) {
        const message = `organisation ${caller.organisation} may not use ${service.name}`;
        return Result.err(failure(requestCodes.forbidden, message));
    }
    const headers = readRequestHeaders(exchange, caller.spec, service.spec.timeout);
    if (headers.isErr) {
        return Result.err(headers.error);
    }
    const declared = isNonIdempotent(service.spec, exchange.method, path.path);
    const nonIdempotent = declared || headers.value.nonIdempotent;
    if (nonIdempotent && headers.value.key === undefined) {
        return Result.err(keyMissing());
    }
    return Result.ok({ path, service, headers: headers.value, nonIdempotent });
}

function startCall(
    services: RouteServices,
    exchange: Exchange,
    caller: Caller,
    checked: CheckedCall,
    body: Uint8Array<ArrayBuffer>,
    open: OpenRequest,
): void {
    const { service, headers, nonIdempotent } = checked;
    const request = toServiceRequest(exchange, caller, checked, body);
    services.history({
        event: "request.received",
        request: request.id,
        organisation: caller.organisation,
        route: service.name,
        callerRequest: exchange.callerRequest,
        idempotent: !nonIdempotent,
        key: headers.key,
    });
    const claimRequest = nonIdempotent ? claimOf(request, service, headers) : undefined;
    const binding = claimRequest === undefined ? undefined : new ClaimBinding({ ...services, claimRequest });
    const sink = replySink(services, exchange);
    const call = new ServiceCall({
        ...services,
        request,
        sink,
        binding,
        span: open.span,
        onEnd: () => open.answered(),
    });
    open.onAbort(() => call.cancel(stoppedFailure(call.mayHaveRun)));
    exchange.onDisconnect(() => call.cancel(failure(requestCodes.cancelled, "the caller disconnected")));
    call.start();
}

function toServiceRequest(
    exchange: Exchange,
    caller: Caller,
    { path, service, headers }: CheckedCall,
    body: Uint8Array<ArrayBuffer>,
): ServiceRequest {
    return {
        id: exchange.id,
        service: service.name,
        organisation: caller.organisation,
        priority: headers.priority,
        method: exchange.method,
        path: path.path + path.query,
        headers: forwardedHeaders(exchange.request.headers),
        body,
        arrived: exchange.arrived,
        deadline: headers.deadline,
    };
}

const hour = 3_600_000;

function claimOf(
    request: ServiceRequest,
    { spec }: Resource<"service">,
    { key }: RequestHeaders,
): UnboundClaimRequest | undefined {
    if (key === undefined) {
        return undefined;
    }
    const { service, organisation, method, path, body } = request;
    const digest = createHash("sha256").update(`${method} ${path}\n`).update(body).digest("hex");
    return { route: service, organisation, key, digest, retention: spec.claimHours * hour };
}

/** Forwards an answer as it arrives, as fast as the caller reads. */
function replySink({ clock, limits, replies }: RouteServices, exchange: Exchange): ReplySink {
    const { response } = exchange;
    let taken: () => void = () => undefined;
    const writer = new PacedWriter({
        response,
        clock,
        stallTimeout: limits.writeStallTimeout,
        memory: replies,
        onDrain: () => taken(),
    });
    return {
        get waiting() {
            return writer.waitingBytes;
        },
        onDrain: handler => {
            taken = handler;
        },
        head: (status, headers) => {
            response.writeHead(status, headers);
            // A short answer is sent in one write with its headers; headers of a slow answer do not wait for its body.
            setImmediate(() => response.flushHeaders());
        },
        body: data => void writer.write(data),
        end: () => writer.end(),
        fail: cause => response.headersSent ? exchange.breakOff() : exchange.sendFailure(cause),
    };
}
