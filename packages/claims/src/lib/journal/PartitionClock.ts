import { type Clock } from "@waxwingspar/utils";

/**
 * The time of a partition in milliseconds. It is carried from owner to owner in the segments and grows only while an
 * owner watches it on its monotonic clock, so it never runs ahead of real time, whatever the wall clocks do. A claim
 * can therefore be kept longer than asked, never shorter.
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

    /** Takes over a time read from the store; it was current some time before it was read. */
    observe(time: number): void {
        if (time > this.now()) {
            this.seen = time;
            this.seenAt = this.clock.now();
        }
    }
}
