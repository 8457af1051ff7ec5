import { type Clock } from "@waxwingspar/utils";
import { type Logger } from "pino";
import { type MechanismSwitch } from "../Mechanisms.js";
import { type LoopMonitor } from "../observation/LoopMonitor.js";
import { type GatewayMetrics } from "../observation/Observation.js";
import { type CallerServer, type ReceivedRequest } from "./CallerServer.js";
import { ConcurrencyLimit } from "./ConcurrencyLimit.js";
import { type GroupLoad, OverloadWithdrawal } from "./OverloadWithdrawal.js";

/** Options of {@link OverloadControl}. */
export interface OverloadControlOptions {
    readonly clock: Pick<Clock, "now">;
    readonly loop: Pick<LoopMonitor, "utilization">;
    readonly callers: Pick<CallerServer, "load" | "updateAcceptance" | "pauseListening">;
    readonly group: () => GroupLoad;
    readonly isOn: MechanismSwitch;
    readonly metrics: Pick<GatewayMetrics, "connections" | "concurrencyLimit">;
    readonly logger: Logger;
}

/** Milliseconds without a connection or request turned away after which an overload is over. */
const calmTime = 1_000;
/** Maximum milliseconds for which every new connection is closed: a process that is ready takes some callers. */
const maxClosedTime = 1_000;

/** Number of connections closed within a tenth of a second from which on listening is paused: each costs processor time. */
const maxDrops = 5;
/** Share of the limit at which a paused server listens again, so that it takes several connections each time. */
const resumeShare = 0.8;

/** What happened since an overload began. */
interface Overload {
    readonly since: number;
    lastAt: number;
    dropped: number;
    refused: number;
}

/**
 * Turns callers away while this process has as many requests in progress as its processor can carry. New connections are
 * closed before their requests are read: this costs the least, and their callers can be sure that the request has not run
 * and may repeat it elsewhere at once. If they are many, the process stops listening for moments. Requests on connections
 * that are kept are refused.
 */
export class OverloadControl {
    private readonly limit: ConcurrencyLimit;
    private readonly withdrawal: OverloadWithdrawal;
    private overload: Overload | undefined;
    private acceptedAt = -Infinity;
    /** Connections closed since the last adjustment. */
    private recentDrops = 0;

    constructor(private readonly options: OverloadControlOptions) {
        const { loop, callers, metrics } = options;
        this.limit = new ConcurrencyLimit({ utilization: () => loop.utilization, open: () => callers.load });
        this.withdrawal = new OverloadWithdrawal({ ...options, overloadedFor: () => this.overloadedFor });
        metrics.concurrencyLimit.observe(() => this.limit.value);
    }

    /** Whether connections that arrive now are kept. */
    get mayAccept(): boolean {
        return !this.options.isOn("concurrency-limit") || !this.limit.isFull || this.isClosedForLong;
    }

    /** Whether a server whose listening was paused listens again. */
    get mayListen(): boolean {
        return this.options.callers.load <= this.limit.value * resumeShare || this.isClosedForLong;
    }

    /** Whether the load balancer is to send new connections elsewhere. */
    get isWithdrawn(): boolean {
        return this.withdrawal.isWithdrawn;
    }

    /** Whether other gateways are to count this one as overloaded. */
    get isOverloaded(): boolean {
        return this.withdrawal.isOverloaded;
    }

    /** Whether a request may be begun; one on a new connection was admitted with it. */
    admits({ isFirst }: Pick<ReceivedRequest, "isFirst">): boolean {
        const isExcess = this.options.callers.load > Math.ceil(this.limit.value);
        if (isFirst || !isExcess || !this.options.isOn("concurrency-limit")) {
            return true;
        }
        this.noteTurnedAway().refused++;
        return false;
    }

    /** Records that a connection was accepted and kept. */
    noteAccepted(): void {
        this.options.metrics.connections.add({ decision: "accepted" });
        this.acceptedAt = this.options.clock.now();
    }

    /** Records that a connection was closed before its request was read. */
    noteDropped(): void {
        this.options.metrics.connections.add({ decision: "dropped" });
        this.noteTurnedAway().dropped++;
        this.recentDrops++;
        if (this.recentDrops >= maxDrops && this.options.isOn("listening-pauses")) {
            this.options.callers.pauseListening();
        }
    }

    /** Adjusts the limit; to be called ten times a second. */
    adjust(): void {
        this.limit.adjust();
        this.recentDrops = 0;
        this.options.callers.updateAcceptance();
        this.endOverload();
        if (this.options.isOn("overload-withdrawal")) {
            this.withdrawal.update();
        }
    }

    private get isClosedForLong(): boolean {
        return this.options.clock.now() - this.acceptedAt >= maxClosedTime;
    }

    private endOverload(): void {
        const { overload } = this;
        if (overload !== undefined && this.options.clock.now() - overload.lastAt > calmTime) {
            const { since, lastAt, dropped, refused } = overload;
            this.overload = undefined;
            this.options.logger.info(
                { ...this.state, lasted: Math.round(lastAt - since), dropped, refused },
                "overload over",
            );
        }
    }

    /** Milliseconds for which callers have been turned away again and again; 0 if none is. */
    private get overloadedFor(): number {
        return this.overload === undefined ? 0 : this.options.clock.now() - this.overload.since;
    }

    private noteTurnedAway(): Overload {
        const now = this.options.clock.now();
        if (this.overload === undefined) {
            this.overload = { since: now, lastAt: now, dropped: 0, refused: 0 };
            this.options.logger.warn(this.state, "overload: callers are turned away");
        }
        this.overload.lastAt = now;
        return this.overload;
    }

    private get state(): object {
        const limit = Number.isFinite(this.limit.value) ? Math.round(this.limit.value) : undefined;
        return {
            open: this.options.callers.load,
            limit,
            utilization: Number(this.options.loop.utilization.toFixed(2)),
        };
    }
}
