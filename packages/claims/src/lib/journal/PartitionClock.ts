import { type Clock } from "@waxwingspar/utils";

/**
 * The time of a partition in milliseconds. Owners pass it on in the segments, and it advances only with the monotonic
 * clock of an owner that observes it, so it never runs ahead of real time, whatever the wall clocks do. A claim can
 * therefore be kept longer than requested, but never shorter.
 *
 * @internal
 */
export class PartitionClock {
    private seen = 0;
    private seenAt: number;

    constructor(private readonly clock: Clock) {
        this.seenAt = clock.now();
    }

    now(): number {
        return this.seen + (this.clock.now() - this.seenAt);
    }

    /** Adopts a partition time read from the store if it is ahead. It was current some time before it was read. */
    observe(time: number): void {
        if (time > this.now()) {
            this.seen = time;
            this.seenAt = this.clock.now();
        }
    }
}
