import { type Clock } from "@waxwingspar/utils";

/**
 * Options of {@link createWorkQueue}. The parameter sweeps behind the defaults are in docs/design/admission.md.
 *
 * @public
 */
export interface WorkQueueOptions {
    readonly clock: Clock;
    /** The maximum number of concurrently running items. */
    readonly slots: number;
    /** The maximum number of queued items. Default 256. */
    readonly capacity?: number;
    /** The bound on the time between tokens, in milliseconds; concurrency is reduced to meet it. Default 72. */
    readonly tokenBound?: number;
    /** The share of the slots reserved for organisations below their fair share. Default 0.05. */
    readonly reserve?: number;
    /**
     * The share by which the first-token bound is tightened for organisations at or above their fair share.
     * Default 0.4.
     */
    readonly headroom?: number;
    /**
     * How far an organisation may exceed its fair share before it is restricted, in standard deviations of random
     * arrivals. Default 0.8.
     */
    readonly shareTolerance?: number;
    /** Milliseconds for which an organisation counts as active after its last item. Default 5000. */
    readonly activeWindow?: number;
    /** The safety margin added to the predicted time to first token, in mean deviations. Default 0.5. */
    readonly caution?: number;
    /** Initial estimate of the time that an item holds its slot, in milliseconds. Default 5000. */
    readonly initialHold?: number;
    /** Initial estimate of the time to prefill one token, in milliseconds. Default 0.1. */
    readonly initialTokenCost?: number;
    /** Fixed work of every item in addition to its prefill, in tokens. Default 64. */
    readonly overheadTokens?: number;
    /** The number of observations that the learned estimates average over. Default 20. */
    readonly memory?: number;
    /** The burst that an organisation's rate limit allows, in seconds of its rate. Default 5. */
    readonly burstSeconds?: number;
}

/** @internal */
export type CompleteWorkQueueOptions = Required<WorkQueueOptions>;

/** @internal */
export function completeWorkQueueOptions(options: WorkQueueOptions): CompleteWorkQueueOptions {
    return {
        capacity: 256,
        tokenBound: 72,
        reserve: 0.05,
        headroom: 0.4,
        shareTolerance: 0.8,
        activeWindow: 5000,
        caution: 0.5,
        initialHold: 5000,
        initialTokenCost: 0.1,
        overheadTokens: 64,
        memory: 20,
        burstSeconds: 5,
        ...options,
    };
}
