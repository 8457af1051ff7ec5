import { type LoadReport, type Stage } from "@waxwingspar/transport";
import { type Outcome } from "@waxwingspar/utils";

/**
 * A target as the configuration describes it.
 *
 * @public
 */
export interface RoutingTarget {
    readonly name: string;
    readonly host: string;
    readonly port: number;
    readonly dataCentre: string;
    readonly region: string;
    /** Speed of the accelerator relative to the slowest kind, which is 1. */
    readonly speed: number;
    /** Bandwidth of the target's link, in bytes per second. */
    readonly bandwidth: number;
    /** One-way latency of the target's link, in milliseconds. */
    readonly latency: number;
    readonly slots: number;
    /** Layer ranges that are loaded and ready to serve. */
    readonly holds: readonly {
        readonly model: string;
        readonly version: string;
        readonly first: number;
        readonly last: number;
    }[];
    /** The plain service that runs on the target, if any. */
    readonly service?: string;
}

/**
 * A model request to be routed to a chain of targets.
 *
 * @public
 */
export interface RouteRequest {
    readonly model: string;
    readonly version: string;
    /** The number of layers of the model. */
    readonly layers: number;
    /** Size of the activations of one position, in bytes. */
    readonly activationBytes: number;
    /** Hashes of the prompt's blocks, each computed over the whole prefix up to the block's end. */
    readonly prefix: readonly string[];
    /** Targets that must not be used, such as those on which an earlier attempt failed. */
    readonly exclude: ReadonlySet<string>;
    /** The head that the request must use, if a claim binds it to one. */
    readonly head?: string;
}

/**
 * The result of an attempt.
 *
 * @public
 */
export type AttemptEnd = "completed" | "refused" | "failed" | "cancelled";

/**
 * An attempt in progress. The caller's observations update the router's load and latency estimates.
 *
 * @public
 */
export interface RoutedAttempt {
    readonly stages: readonly Stage[];
    /** Reports the first token, and the milliseconds since the attempt was sent. */
    firstToken(latency: number): void;
    /** Reports a later token, and the milliseconds since the previous one. */
    token(interval: number): void;
    /**
     * Reports how much of the prompt was served from the prefix caches of all stages, which corrects the router's cache
     * estimates. Must be called before {@link RoutedAttempt.end}, and only if no KV cache was transferred from another
     * attempt.
     *
     * @param blocks - Number of leading blocks of the request's prefix, an estimate; see docs/design/cache-feedback.md.
     */
    cached?(blocks: number): void;
    /**
     * Reports the end of the attempt. Later calls have no effect.
     *
     * @param target - The target at fault, if known.
     * @param rest - Milliseconds for which a target that refused wants no requests from this entry.
     */
    end(result: AttemptEnd, target?: string, rest?: number): void;
}

/**
 * Chooses the chain of targets for each request, from the configuration, load reports and observations of its own
 * requests.
 *
 * @public
 */
export interface Router {
    /** Replaces the configured targets. Learned estimates of the remaining targets are kept. */
    update(targets: readonly RoutingTarget[]): void;
    /**
     * Chooses a chain for a model request.
     *
     * @returns An attempt, `noCapacity` when no chain covers the layers, or `overloaded` when all would miss the bound.
     */
    choose(request: RouteRequest): Outcome<RoutedAttempt>;
    /** Chooses a target of a plain service. */
    chooseService(service: string, exclude: ReadonlySet<string>): Outcome<RoutedAttempt>;
    /** Processes a load report, which may be delayed. A target that reports that it is leaving gets no new work. */
    report(load: LoadReport): void;
    /** Records that the connection to a target could not be opened or was lost. */
    unreachable(target: string): void;
    /** Records from the live list whether a target is leaving. It does not override the target's own leaving report. */
    setLeaving(target: string, leaving: boolean): void;
    /** Processes a cache event of a target. Events may be delayed or lost; `gap` reports a loss. */
    cacheEvent(target: string, kind: "stored" | "evicted" | "cleared" | "gap", blocks: readonly string[]): void;
}
