import { type Clock } from "@waxwingspar/utils";

/**
 * Share of its room that a target keeps each time it refuses a request because it is full. Requests of average size
 * need a smaller correction, and the refusals that follow lower the room further.
 */
const remainingShare = 0.9;
/** Lowest share of its room that a target keeps, so that refusals of large requests do not leave a chain unused. */
const minShare = 0.5;
/**
 * Milliseconds after a refusal within which further ones do not lower the room: requests that were sent before the
 * first refusal was known are refused together.
 */
const refusalInterval = 200;
/** Share of its room that a target regains each second, so that a tenth is regained within some seconds. */
const recoveryRate = 0.03;
const millisecondsPerSecond = 1_000;

interface LoweredRoom {
    /** Share of the room at the time of the last reduction. */
    readonly share: number;
    /** When the room was last lowered, on the clock. */
    readonly at: number;
}

/**
 * Tracks by how much the rooms of targets are overestimated. It answers the load at which targets refuse requests
 * because they are full: requests that are larger than the average, or that other gateways have sent meanwhile, fill a
 * target below its computed room. Chains through it get fewer requests for some seconds, and none of them is rebuilt.
 */
export class LearnedRooms {
    private readonly lowered = new Map<string, LoweredRoom>();

    constructor(private readonly clock: Clock) {}

    /** Records that a target refused a request because it is full. */
    noteFull(id: string): void {
        if (!this.wasLowered(id)) {
            this.lowered.set(id, { share: Math.max(minShare, this.share(id) * remainingShare), at: this.clock.now() });
        }
    }

    /** Whether the room of a target was lowered so recently that another refusal changes nothing. */
    wasLowered(id: string): boolean {
        return this.clock.now() - (this.lowered.get(id)?.at ?? -Infinity) < refusalInterval;
    }

    /** The share of its computed room that a target has, from 0.5 to 1. */
    share(id: string): number {
        const room = this.lowered.get(id);
        if (room === undefined) {
            return 1;
        }
        const share = room.share + recoveryRate * (this.clock.now() - room.at) / millisecondsPerSecond;
        if (share >= 1) {
            this.lowered.delete(id);
        }
        return Math.min(1, share);
    }

    /** Discards what is known about a target, because it has restarted. */
    forget(id: string): void {
        this.lowered.delete(id);
    }
}
