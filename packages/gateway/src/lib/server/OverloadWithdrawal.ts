import { type Clock } from "@waxwingspar/utils";
import { type Logger } from "pino";

/** What the other gateways report about their load. */
export interface GroupLoad {
    /** Number of other gateways; 0 until any is known. */
    readonly members: number;
    /** Number of them that turn callers away or are withdrawn. */
    readonly overloaded: number;
}

/** Options of {@link OverloadWithdrawal}. */
export interface OverloadWithdrawalOptions {
    readonly clock: Pick<Clock, "now">;
    /** Milliseconds for which this process has turned callers away; 0 if it does not. */
    readonly overloadedFor: () => number;
    readonly group: () => GroupLoad;
    readonly logger: Logger;
}

/** Milliseconds of an overload after which it counts as lasting: longer than a crowd that repeats once. */
const lastingOverload = 1_000;
/** Maximum share of all gateways that are overloaded while one of them withdraws: the others can take its callers. */
const maxOverloadedShare = 0.25;
/**
 * Bounds of the milliseconds of a withdrawal. The load balancer takes two seconds to notice one. Each withdrawal that
 * follows another soon lasts twice as long, so that a load that returns each time does not return often.
 */
const withdrawalTime = { least: 4_000, most: 16_000 };
/** Milliseconds after a withdrawal until the next one is as short as the first. */
const memoryTime = 30_000;

/**
 * Decides when this process asks the load balancer to send new connections elsewhere: while it turns callers away and
 * most other gateways do not. If many are overloaded, none withdraws, since each is needed.
 */
export class OverloadWithdrawal {
    private since: number | undefined;
    private endedAt = -Infinity;
    private duration = withdrawalTime.least;

    constructor(private readonly options: OverloadWithdrawalOptions) {}

    get isWithdrawn(): boolean {
        return this.since !== undefined;
    }

    /** Whether other gateways are to count this one as overloaded. */
    get isOverloaded(): boolean {
        return this.isWithdrawn || this.options.overloadedFor() > lastingOverload;
    }

    /** Decides anew; to be called several times a second. */
    update(): void {
        const now = this.options.clock.now();
        if (this.since === undefined) {
            if (this.options.overloadedFor() > lastingOverload && this.hasRoomElsewhere) {
                this.withdraw(now);
            }
            return;
        }
        const isOver = now - this.since >= this.duration && this.options.overloadedFor() === 0;
        if (isOver || now - this.since >= withdrawalTime.most || !this.hasRoomElsewhere) {
            this.options.logger.info(
                { ...this.options.group(), withdrawnFor: Math.round(now - this.since) },
                "ready again",
            );
            this.since = undefined;
            this.endedAt = now;
        }
    }

    private get hasRoomElsewhere(): boolean {
        const { members, overloaded } = this.options.group();
        return overloaded + 1 <= (members + 1) * maxOverloadedShare;
    }

    private withdraw(now: number): void {
        const isSoon = now - this.endedAt < memoryTime;
        this.duration = isSoon ? Math.min(2 * this.duration, withdrawalTime.most) : withdrawalTime.least;
        this.since = now;
        this.options.logger.warn({ ...this.options.group(), duration: this.duration }, "not ready: overloaded");
    }
}
