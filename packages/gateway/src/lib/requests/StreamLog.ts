import { type ChainService } from "../chains/ChainService.js";
import { type CallerExchange } from "./CallerExchange.js";
import { type ChainAttempt } from "./ChainAttempt.js";
import { type DeliveredEvents } from "./DeliveredEvents.js";
import { type RequestContext } from "./RequestContext.js";

/** Options of {@link StreamLog}. */
export interface StreamLogOptions {
    readonly context: Pick<RequestContext, "clock" | "observation">;
    readonly caller: Pick<CallerExchange, "digest" | "request">;
    readonly service: Pick<ChainService, "diagnostics">;
    readonly delivered: Pick<DeliveredEvents, "count" | "silence">;
}

/** Whether a run was ended by its target or abandoned by the gateway. */
export type EndInitiator = "target" | "gateway";

/** Logs what happens to the attempts of one stream. */
export class StreamLog {
    constructor(private readonly options: StreamLogOptions) {}

    suspected(attempt: ChainAttempt, reason: string): void {
        const fields = { ...this.describe(attempt), chain: attempt.load.chain.dataCentre, reason };
        this.options.context.observation.logs.requests.info(fields, "attempt suspected");
    }

    notNeeded(attempt: ChainAttempt): void {
        const fields = { ...this.describe(attempt), chain: attempt.load.chain.dataCentre };
        this.options.context.observation.logs.requests.info(fields, "attempt not needed");
    }

    failed(attempt: ChainAttempt, reason: string, endedBy: EndInitiator): void {
        const { context, delivered } = this.options;
        context.observation.logs.requests.warn({
            ...this.describe(attempt),
            chain: attempt.load.chain.dataCentre,
            head: attempt.target.id,
            reason,
            endedBy,
            events: delivered.count,
            after: Math.round(context.clock.now() - attempt.startedAt),
        }, "attempt failed");
    }

    /** Log fields common to all messages about an attempt. */
    private describe(attempt: ChainAttempt): object {
        const { caller: { request, digest }, delivered, service } = this.options;
        const silence = Math.round(delivered.silence);
        return { request: request.id, digest, silence, ...service.diagnostics(attempt.load) };
    }
}
