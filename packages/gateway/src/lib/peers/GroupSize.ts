import { type Clock } from "@waxwingspar/utils";

/**
 * Milliseconds after joining in which a process may not yet know of all gateways. When a whole site starts, each
 * process discovers all others within six heartbeats.
 */
const settleTime = 2_000;
/** Minimum size assumed until then: when processes start together, the first one finds the store's table empty. */
const assumedSize = 8;
/**
 * Milliseconds for which the largest size counts. Gateways whose heartbeats are missing may be partitioned and still
 * use their share of the budget, so the others must not take it over. Hosts are replaced every minute or two, which
 * adds at most four to the size.
 */
const peakRetention = 300_000;

/**
 * Estimates how many gateways share the budget of a site. The sum of their shares stays within the budget while many
 * gateways start together, and while the group is partitioned.
 */
export class GroupSize {
    /** Recent sizes, oldest first; each is smaller than the one before. */
    private readonly peaks: { readonly size: number; readonly notedAt: number; }[] = [];
    private joinedAt = Infinity;
    private knownAtJoin = 0;

    /** @param retention - Milliseconds for which the largest size counts. */
    constructor(private readonly clock: Clock, private readonly retention = peakRetention) {}

    /**
     * Records that this process has joined the group.
     *
     * @param known - The number of gateways in the store's table; some of them may have left.
     */
    join(known: number): void {
        this.joinedAt = this.clock.now();
        this.knownAtJoin = known;
    }

    /** Records the number of gateways that are currently known to be alive. */
    record(size: number): void {
        while ((this.peaks.at(-1)?.size ?? Infinity) <= size) {
            this.peaks.pop();
        }
        this.peaks.push({ size, notedAt: this.clock.now() });
        while (this.peaks[0] !== undefined && this.peaks[0].notedAt < this.clock.now() - this.retention) {
            this.peaks.shift();
        }
    }

    /** The largest recent number of live gateways; infinite before this process has joined. */
    get value(): number {
        if (this.joinedAt === Infinity) {
            return Infinity;
        }
        const largest = this.peaks[0]?.size ?? 1;
        const isSettled = this.clock.now() >= this.joinedAt + settleTime;
        return isSettled ? largest : Math.max(largest, this.knownAtJoin, assumedSize);
    }
}
