import { type Clock } from "@waxwingspar/utils";

/**
 * Options of {@link createWorkQueue}. docs/design/admission.md has the sweeps behind the defaults.
 *
 * @public
 */
export interface WorkQueueOptions {
    readonly clock: Clock;
    /** Items that may run at once. */
    readonly slots: number;
    /** Items that may wait. Default 256. */
    readonly capacity?: number;
    /** The bound between two tokens, in milliseconds; the number of running items shrinks to keep it. Default 72. */
    readonly tokenBound?: number;
    /** The share of slots that only organisations below their fair share may take. Default 0.05. */
    readonly reserve?: number;
    /** The share of the bound on the first token that organisations at or above their fair share must leave. Default 0.4. */
    readonly headroom?: number;
    /** How many standard deviations of random arrivals above its share an organisation may be unrestricted. Default 0.8. */
    readonly shareTolerance?: number;
    /** Milliseconds for which an organisation counts as active after its last item. Default 5000. */
    readonly activeWindow?: number;
    /** How many mean deviations the predicted first token is raised by. Default 0.5. */
    readonly caution?: number;
    /** The first guess of the time that an item holds its slot, in milliseconds. Default 5000. */
    readonly initialHold?: number;
    /** The first guess of the time to prefill one token, in milliseconds. Default 0.1. */
    readonly initialTokenCost?: number;
    /** Work of every item besides its prefill, in tokens. Default 64. */
    readonly overheadTokens?: number;
    /** How many observations the learned figures look back on. Default 20. */
    readonly memory?: number;
    /** Seconds' worth of requests that an organisation may send at once under its rate limit. Default 5. */
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
