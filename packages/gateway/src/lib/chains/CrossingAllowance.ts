import { type Clock, type Random } from "@waxwingspar/utils";
import { type Engine } from "../configuration/Configuration.js";

/** Options of {@link CrossingAllowance}. */
export interface CrossingAllowanceOptions {
    readonly clock: Clock;
    readonly random: Random;
    /** Number of gateways that share the links between data centres. */
    readonly gateways: () => number;
    /** The part of all gateways' requests in flight that are this gateway's, from 0 to 1; an equal part by default. */
    readonly loadShare?: () => number;
}

const bitsPerByte = 8;
const bitsPerMegabitMillisecond = 1_000;
/** Share of the link, from 0 to 1, that new requests may use. The rest is for streams that are resumed. */
const usableShare = 0.8;
/** Milliseconds of transfers that all gateways together may queue at once: half of a usual latency target. */
const maxBacklog = 300;
/**
 * Share of the allowance that is divided equally. The rest follows the requests in flight, since callers may all be at
 * one gateway; the equal part is for callers that have just moved to another one.
 */
const equalShare = 0.2;
/** Milliseconds without a request after which the level is unknown, since the link was not used meanwhile. */
const idleTime = 2_000;

/** Returns the milliseconds for which an average request occupies the link between two data centres at each crossing. */
export function crossingTime(engine: Engine): number {
    const { activationBytes = 0, crossingBandwidth = Infinity, usualPrompt, usualAnswer } = engine;
    const bits = (usualPrompt + usualAnswer) * activationBytes * bitsPerByte;
    return bits / (crossingBandwidth * bitsPerMegabitMillisecond);
}

/**
 * Limits the new requests of one gateway on chains that cross data centres to its part of what the link can carry. The
 * activations of every token cross it, and transfers queue: beyond its capacity no request on such a chain gets a first
 * event in time, while one that is refused can come back when a data centre has a whole chain again.
 *
 * The allowance is a token bucket whose tokens are milliseconds of the link.
 */
export class CrossingAllowance {
    private level = 0;
    private refilledAt = -Infinity;

    constructor(private readonly options: CrossingAllowanceOptions) {}

    /**
     * Whether a request may be sent now.
     *
     * @param time - Milliseconds for which it occupies the link, over all crossings of its chain.
     */
    mayUse(time: number): boolean {
        this.refill(time);
        return this.level >= time;
    }

    /** Takes the time of a request that is sent; streams that are resumed may overdraw the allowance. */
    use(time: number): void {
        this.refill(time);
        this.level -= time;
    }

    private refill(time: number): void {
        const { clock } = this.options;
        const now = clock.now();
        const share = maxBacklog * this.share;
        if (now - this.refilledAt > idleTime) {
            this.level = this.startLevel(time, share);
        }
        else {
            const gained = (now - this.refilledAt) * usableShare * this.share;
            this.level = Math.min(Math.max(time, share), this.level + gained);
        }
        this.refilledAt = now;
    }

    /** This gateway's part of the allowance; the parts of all gateways add up to 1. */
    private get share(): number {
        const { gateways, loadShare } = this.options;
        const equal = 1 / gateways();
        return loadShare === undefined ? equal : equalShare * equal + (1 - equalShare) * loadShare();
    }

    /** The level after an idle time. It is random if a request of each gateway at once would be too much. */
    private startLevel(time: number, share: number): number {
        return share >= time ? share : this.options.random.next() * time;
    }
}
