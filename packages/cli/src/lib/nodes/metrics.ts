import { type AgentMetrics } from "@waxwingspar/agent";
import { type ClaimRecovery } from "@waxwingspar/claims";
import { type EntryMetrics } from "@waxwingspar/entry";
import { type MetricRegistry } from "@waxwingspar/telemetry";
import { type Logger } from "pino";

/** Registers the metrics of an entry. docs/METRICS.md lists them. @internal */
export function createEntryMetrics(registry: MetricRegistry): EntryMetrics {
    const requests = registry.counter({
        name: "waxwingspar_requests_total",
        help: "Requests that ended, by route and result code; 0 is a completed request.",
    });
    const tokens = registry.counter({ name: "waxwingspar_answer_tokens_total", help: "Tokens sent to callers." });
    const durations = registry.histogram({
        name: "waxwingspar_request_duration_seconds",
        help: "From a request's arrival to its end.",
    });
    const firstTokens = registry.histogram({
        name: "waxwingspar_first_token_seconds",
        help: "From a request's arrival to its first token.",
    });
    const retries = registry.counter({
        name: "waxwingspar_retries_total",
        help: "Further attempts, by route and the code that ended the attempt before.",
    });
    const recoveries = registry.histogram({
        name: "waxwingspar_recovery_seconds",
        help: "From noticing a loss in mid-stream to the next token.",
    });
    const guarded = registry.counter({
        name: "waxwingspar_guarded_callers_total",
        help:
            "Connections closed and requests refused unread because of what their caller sent or left unread, by reason.",
    });
    return {
        requestEnded: (route, code, duration, count) => {
            requests.add({ route, code });
            tokens.add({ route }, count);
            durations.record(duration, { route });
        },
        firstToken: (route, latency) => firstTokens.record(latency, { route }),
        retried: (route, code) => retries.add({ route, code }),
        recovered: (route, duration) => recoveries.record(duration, { route }),
        guarded: reason => guarded.add({ reason }),
    };
}

/** Logs and counts each recovery of claims that the store may have lost. @internal */
export function createClaimRecoveryObserver(
    registry: MetricRegistry,
    logger: Logger,
): (recovery: ClaimRecovery) => void {
    const recoveries = registry.counter({
        name: "waxwingspar_claim_reclaims_total",
        help: "Recoveries of claims that the store may have lost, by outcome: settled, or refused and to be repeated.",
    });
    return recovery => {
        if (recovery.refusal === undefined) {
            recoveries.add({ outcome: "settled" });
            logger.info(recovery, "claims: lost claims are written again");
            return;
        }
        recoveries.add({ outcome: "refused" });
        logger.warn(recovery, "claims: new claims are refused, some may be lost");
    };
}

/** Registers the metrics of an agent. @internal */
export function createAgentMetrics(registry: MetricRegistry): AgentMetrics {
    const firstTokens = registry.histogram({
        name: "waxwingspar_agent_first_token_seconds",
        help: "From the start of a request at its head to its first token.",
    });
    const intervals = registry.histogram({
        name: "waxwingspar_agent_token_interval_seconds",
        help: "Between two tokens of one stream at its head.",
    });
    const dropped = registry.counter({
        name: "waxwingspar_agent_dropped_messages_total",
        help: "Messages that were late, duplicate or from an earlier attempt, by type.",
    });
    const attempts = registry.counter({
        name: "waxwingspar_agent_attempts_total",
        help: "Attempts that ended on this agent, by their final state.",
    });
    return {
        firstToken: duration => firstTokens.record(duration),
        tokenInterval: duration => intervals.record(duration),
        dropped: type => dropped.add({ type }),
        attemptEnded: state => attempts.add({ state }),
    };
}
