import { type Target } from "../directory/Target.js";
import { type ExchangeListener, type OpenExchange } from "../upstream/Exchange.js";
import { type CallerExchange } from "./CallerExchange.js";
import { type Hop } from "./messages.js";
import { type RequestContext } from "./RequestContext.js";

/** Options of {@link openExchange}. */
export interface OpenExchangeOptions {
    readonly context: RequestContext;
    readonly caller: CallerExchange;
    readonly target: Target;
    /** The chain that begins at the target, for a request that runs on several targets. */
    readonly chain?: readonly Hop[];
    readonly lastEventId: string | undefined;
    /** 0 is the most urgent; undefined for the default of the targets. */
    readonly priority?: number;
    /** Whether the request itself may still be sent when the connection is established. */
    readonly maySend: () => boolean;
    readonly listener: ExchangeListener;
}

/** Statuses of replies that do not show that the target takes requests: it turns them away, or is another process. */
const refusalStatuses = new Set([421, 429, 503]);

/** Sends a caller's request to a target, with its remaining time. */
export function openExchange(options: OpenExchangeOptions): OpenExchange {
    const { context, caller, target, chain, lastEventId, priority, maySend, listener } = options;
    const headers = context.wire.writeDispatchHeaders(caller.rawHeaders, {
        targetId: target.id,
        timeLeft: caller.timeLeft,
        organisation: caller.organisation?.name,
        lastEventId,
        priority,
        chain,
        bodyLength: caller.body?.length,
    });
    const limit = context.limits.rate(target);
    if (limit !== undefined) {
        context.observation.metrics.limitedSends.add({ service: target.service });
    }
    const restLeft = context.rests.timeLeft(target);
    if (restLeft > 0) {
        context.observation.metrics.restingSends.add({ service: target.service });
    }
    caller.noteSend(target, {
        listAge: context.targetListAge(),
        limit,
        limitAge: context.limits.age(target),
        restLeft: restLeft > 0 ? restLeft : undefined,
    });
    const endSend = context.rests.beginSend(target);
    const exchange = context.openExchange({
        host: target.host,
        port: target.port,
        method: caller.method,
        path: caller.path,
        headers,
        body: caller.body,
        connectTimeout: context.connectTimeout,
        maySend: () => maySend() && context.rests.timeLeft(target) === 0 && context.mayReceive(target),
        listener: {
            ...listener,
            onHead: response => {
                endSend(refusalStatuses.has(response.statusCode ?? 0) ? "refused" : "accepted");
                listener.onHead(response);
            },
            onFailure: failure => {
                endSend("unanswered");
                listener.onFailure(failure);
            },
        },
    });
    return {
        pause: () => exchange.pause(),
        resume: () => exchange.resume(),
        cancel: () => {
            endSend("unanswered");
            exchange.cancel();
        },
        get neverSent() {
            return exchange.neverSent;
        },
        get bytesRead() {
            return exchange.bytesRead;
        },
    };
}
