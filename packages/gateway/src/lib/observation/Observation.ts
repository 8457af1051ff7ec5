import { type Counter, type Gauge, type Histogram, type MetricRegistry } from "@waxwingspar/telemetry";
import { type Logger } from "pino";

/** The loggers of a gateway's parts, each with its own prefix. */
export interface Logs {
    readonly requests: Logger;
    readonly configuration: Logger;
    readonly directory: Logger;
    readonly chains: Logger;
    readonly limits: Logger;
    /** What targets say about themselves. */
    readonly targets: Logger;
    readonly duty: Logger;
    readonly peers: Logger;
    readonly process: Logger;
}

/** The counters and histograms of a gateway. */
export class GatewayMetrics {
    readonly requests: Counter;
    readonly sends: Counter;
    readonly refusals: Counter;
    readonly orders: Counter;
    readonly storeLosses: Counter;
    readonly storeEras: Counter;
    readonly storeCalls: Counter;
    readonly storeBytes: Counter;
    readonly storeReplyTime: Histogram;
    readonly peerCopies: Counter;
    readonly peerCopyBytes: Counter;
    readonly configurationVersion: Gauge;
    readonly configurationDelay: Histogram;
    readonly configurationDecoding: Histogram;
    readonly tableDoubt: Histogram;
    readonly firstByte: Histogram;
    readonly duration: Histogram;
    readonly targetListAge: Histogram;
    readonly deliveredPause: Histogram;
    readonly deliveryWait: Histogram;
    readonly slowLinks: Counter;
    readonly answersGivenUp: Counter;
    readonly crashedRuns: Counter;
    readonly retrials: Counter;
    readonly limitStatements: Counter;
    readonly limitedSends: Counter;
    readonly permits: Counter;
    readonly rests: Counter;
    readonly restingSends: Counter;
    readonly leavingReplies: Counter;
    readonly unknownHeaders: Counter;
    readonly slotsGranted: Counter;
    readonly slotsHeld: Counter;
    readonly slotsRefused: Counter;
    readonly slotHoldTime: Histogram;
    readonly loopDelay: Histogram;
    readonly loopUtilization: Gauge;
    readonly connections: Counter;
    readonly concurrencyLimit: Gauge;
    readonly guardedClients: Counter;
    readonly clientMemory: Gauge;
    readonly unansweredCloses: Counter;
    readonly unwritableHeads: Counter;
    readonly faultyRuns: Counter;
    readonly requestErrors: Counter;
    readonly callersLeft: Counter;
    readonly requestAge: Histogram;

    constructor(registry: MetricRegistry) {
        this.requests = registry.counter({
            name: "waxwingspar_gateway_requests_total",
            help: "Callers' requests that ended, by kind of route and status.",
        });
        this.sends = registry.counter({
            name: "waxwingspar_gateway_sends_total",
            help: "Requests sent to targets, by how the exchange ended.",
        });
        this.refusals = registry.counter({
            name: "waxwingspar_gateway_refusals_total",
            help: "Requests that this process refused, by result code.",
        });
        this.orders = registry.counter({
            name: "waxwingspar_gateway_orders_total",
            help: "Orders to hold layers, by result.",
        });
        this.storeLosses = registry.counter({
            name: "waxwingspar_gateway_store_losses_total",
            help: "Times that the platform's store stopped answering, by table.",
        });
        this.storeEras = registry.counter({
            name: "waxwingspar_gateway_store_eras_total",
            help: "Times that the platform's store was found to have come back from an older copy.",
        });
        this.storeCalls = registry.counter({
            name: "waxwingspar_gateway_store_calls_total",
            help: "Calls to the platform's store that ended, by table, call and result.",
        });
        this.storeBytes = registry.counter({
            name: "waxwingspar_gateway_store_bytes_total",
            help: "Bytes of replies of the platform's store, by table, and whether the reply was used or given up.",
        });
        this.storeReplyTime = registry.histogram({
            name: "waxwingspar_gateway_store_reply_seconds",
            help: "From the head of a reply of the platform's store to its end, by table.",
        });
        this.peerCopies = registry.counter({
            name: "waxwingspar_gateway_peer_copies_total",
            help: "Requests to peers for copies of tables, by table and result.",
        });
        this.peerCopyBytes = registry.counter({
            name: "waxwingspar_gateway_peer_copy_bytes_total",
            help: "Compressed bytes of tables that peers sent, by table.",
        });
        this.configurationVersion = registry.gauge({
            name: "waxwingspar_gateway_configuration_version",
            help: "The version of the configuration in force.",
        });
        this.configurationDelay = registry.histogram({
            name: "waxwingspar_gateway_configuration_delay_seconds",
            help: "From learning that a newer configuration exists until it was in force.",
        });
        this.configurationDecoding = registry.histogram({
            name: "waxwingspar_gateway_configuration_decoding_seconds",
            help: "Time to decode and index a configuration, with the other work in between.",
        });
        this.tableDoubt = registry.histogram({
            name: "waxwingspar_gateway_table_doubt_seconds",
            help: "From noticing that the store came back from a copy until a table was read anew, by table.",
        });
        this.firstByte = registry.histogram({
            name: "waxwingspar_gateway_first_byte_seconds",
            help: "From a request's arrival to the first byte of its reply, by kind of route.",
        });
        this.duration = registry.histogram({
            name: "waxwingspar_gateway_duration_seconds",
            help: "From a request's arrival to its end, by kind of route.",
        });
        this.targetListAge = registry.histogram({
            name: "waxwingspar_gateway_target_list_age_seconds",
            help: "How long the list of targets had not been confirmed when a request was sent to one of them.",
        });
        this.deliveredPause = registry.histogram({
            name: "waxwingspar_gateway_delivered_pause_seconds",
            help: "The longest pause between parts of an answer as they left for its caller, by kind of route.",
        });
        this.deliveryWait = registry.histogram({
            name: "waxwingspar_gateway_delivery_wait_seconds",
            help: "The longest time that a part of an answer waited to leave for its caller, by kind of route.",
        });
        this.slowLinks = registry.counter({
            name: "waxwingspar_gateway_slow_links_total",
            help: "Times that this host's own link was found to hold answers up.",
        });
        this.answersGivenUp = registry.counter({
            name: "waxwingspar_gateway_answers_given_up_total",
            help: "Answers that a target may have begun and that this process ended, by kind of route and cause.",
        });
        this.crashedRuns = registry.counter({
            name: "waxwingspar_gateway_crashed_runs_total",
            help: "Runs of requests that were cut off because their target crashed.",
        });
        this.retrials = registry.counter({
            name: "waxwingspar_gateway_retrials_total",
            help: "Judgements on requests that several targets crashed under, by result.",
        });
        this.limitStatements = registry.counter({
            name: "waxwingspar_gateway_limit_statements_total",
            help: "Replies of targets that named, lifted or misstated a limit on their requests.",
        });
        this.limitedSends = registry.counter({
            name: "waxwingspar_gateway_limited_sends_total",
            help: "Requests sent to targets that were known to limit their requests.",
        });
        this.permits = registry.counter({
            name: "waxwingspar_gateway_permits_total",
            help: "Decisions on permits to send to limited targets, by decision and who decided.",
        });
        this.rests = registry.counter({
            name: "waxwingspar_gateway_rests_total",
            help: "Refusals in which a target asked this process for rest, by whether the time could be read.",
        });
        this.restingSends = registry.counter({
            name: "waxwingspar_gateway_resting_sends_total",
            help: "Requests sent to targets whose rest had not ended.",
        });
        this.leavingReplies = registry.counter({
            name: "waxwingspar_gateway_leaving_replies_total",
            help: "Replies in which a target said that it is leaving.",
        });
        this.unknownHeaders = registry.counter({
            name: "waxwingspar_gateway_unknown_headers_total",
            help: "Headers of targets' replies that this program does not know, once for each name.",
        });
        this.slotsGranted = registry.counter({
            name: "waxwingspar_gateway_slot_granted_total",
            help: "Slots of heads and plain targets that requests were granted, by rank.",
        });
        this.slotsHeld = registry.counter({
            name: "waxwingspar_gateway_slot_held_total",
            help: "Requests that were held until a decision on their slot, by rank and decision.",
        });
        this.slotsRefused = registry.counter({
            name: "waxwingspar_gateway_slot_refused_total",
            help: "Requests that were refused a slot, by reason and rank.",
        });
        this.slotHoldTime = registry.histogram({
            name: "waxwingspar_gateway_slot_held_seconds",
            help: "Time for which requests were held until a decision on their slot, by decision.",
        });
        this.loopDelay = registry.histogram({
            name: "waxwingspar_gateway_loop_delay_seconds",
            help: "Time for which this process's event loop was blocked, measured ten times a second.",
        });
        this.loopUtilization = registry.gauge({
            name: "waxwingspar_gateway_loop_utilization",
            help: "Share of the last half second in which this process's event loop had work.",
        });
        this.connections = registry.counter({
            name: "waxwingspar_gateway_connections_total",
            help: "Connections of callers, by what became of them when they were accepted.",
        });
        this.concurrencyLimit = registry.gauge({
            name: "waxwingspar_gateway_concurrency_limit",
            help: "Maximum number of requests in progress that this process's processor can carry.",
        });
        this.guardedClients = registry.counter({
            name: "waxwingspar_gateway_guarded_clients_total",
            help:
                "Connections closed and requests refused unread because of what their client sent or left unread, by reason.",
        });
        this.clientMemory = registry.gauge({
            name: "waxwingspar_gateway_client_memory_bytes",
            help: "Memory that is counted for what clients have sent or left unread.",
        });
        this.unansweredCloses = registry.counter({
            name: "waxwingspar_gateway_unanswered_closes_total",
            help: "Connections closed by this process with requests or bytes that it had received and not answered.",
        });
        this.requestAge = registry.histogram({
            name: "waxwingspar_gateway_request_age_seconds",
            help: "From a request's estimated arrival until it was begun.",
        });
        this.unwritableHeads = registry.counter({
            name: "waxwingspar_gateway_unwritable_heads_total",
            help: "Heads of targets' replies that could not be written to their callers.",
        });
        this.faultyRuns = registry.counter({
            name: "waxwingspar_gateway_faulty_runs_total",
            help: "Runs of streams that were ended because of what they brought, by fault.",
        });
        this.requestErrors = registry.counter({
            name: "waxwingspar_gateway_request_errors_total",
            help: "Errors that were thrown in callbacks of requests, which end the request, by callback.",
        });
        this.callersLeft = registry.counter({
            name: "waxwingspar_gateway_callers_left_total",
            help: "Requests whose callers left before their answer had ended, by how far the request had come.",
        });
    }
}

/** The loggers and metrics that the parts of a gateway report to. */
export interface Observation {
    readonly logs: Logs;
    readonly metrics: GatewayMetrics;
}
