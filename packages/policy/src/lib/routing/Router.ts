import { type LoadReport, type Stage } from "@waxwingspar/transport";
import { type Outcome } from "@waxwingspar/utils";

/**
 * What the router knows about a target from the configuration.
 *
 * @public
 */
export interface RoutingTarget {
    readonly name: string;
    readonly host: string;
    readonly port: number;
    readonly dataCentre: string;
    readonly region: string;
    /** Speed of the accelerator against the slowest kind, which is 1. */
    readonly speed: number;
    /** Bandwidth of its link in bytes per second. */
    readonly bandwidth: number;
    /** One-way latency of its link in milliseconds. */
    readonly latency: number;
    readonly slots: number;
    /** Layer ranges that are loaded and may serve. */
    readonly holds: readonly {
        readonly model: string;
        readonly version: string;
        readonly first: number;
        readonly last: number;
    }[];
    /** The plain service that runs here, if any. */
    readonly service?: string;
}

/**
 * A model request that needs a chain of targets.
 *
 * @public
 */
export interface RouteRequest {
    readonly model: string;
    readonly version: string;
    /** The number of layers of the model. */
    readonly layers: number;
    /** Bytes of activations of one position. */
    readonly activationBytes: number;
    /** Hashes of the prompt's blocks, each over the whole prefix up to its end. */
    readonly prefix: readonly string[];
    /** Targets that this request must not use, such as those that failed it. */
    readonly exclude: ReadonlySet<string>;
    /** The head that the request must use, when a claim binds it to one. */
    readonly head?: string;
}

/**
 * How an attempt ended, as the router needs to know it.
 *
 * @public
 */
export type AttemptEnd = "completed" | "refused" | "failed" | "cancelled";

/**
 * An attempt in progress. The caller reports what it sees, which feeds the router's own load and latency figures.
 *
 * @public
 */
export interface RoutedAttempt {
    readonly stages: readonly Stage[];
    /** The first token came, so many milliseconds after the attempt was sent. */
    firstToken(latency: number): void;
    /** A later token came, so many milliseconds after the one before. */
    token(interval: number): void;
    /**
     * How much of the prompt came from the prefix cache of every stage, which corrects what is believed of them. To be
     * called before the end, and only when no KV cache was taken over from another attempt.
     *
     * @param blocks - Leading blocks of the request's prefix; not exact, see docs/design/cache-feedback.md.
     */
    cached?(blocks: number): void;
    /**
     * The attempt ended. Later calls do nothing.
     *
     * @param target - The target at fault, when one is known.
     */
    end(result: AttemptEnd, target?: string): void;
}

/**
 * Chooses the chain of targets for each request, from the configuration, load reports and its own traffic.
 *
 * @public
 */
export interface Router {
    /** Replaces what is known from the configuration. Learned figures of targets that stay are kept. */
    update(targets: readonly RoutingTarget[]): void;
    /** @returns An attempt; `noCapacity` when no chain covers the layers, `overloaded` when all would miss the bound. */
    choose(request: RouteRequest): Outcome<RoutedAttempt>;
    /** Chooses one target of a plain service. */
    chooseService(service: string, exclude: ReadonlySet<string>): Outcome<RoutedAttempt>;
    /** Takes a load report, which may be late. A leaving target gets no new work from then on. */
    report(load: LoadReport): void;
    /** The connection to a target could not be opened or was lost. */
    unreachable(target: string): void;
    /** The live list says that a target is leaving or back. It cannot take back what the target says of itself. */
    setLeaving(target: string, leaving: boolean): void;
    /** Cache events of a target, late and with gaps. */
    cacheEvent(target: string, kind: "stored" | "evicted" | "cleared" | "gap", blocks: readonly string[]): void;
}
