import { type Clock } from "@waxwingspar/utils";

/** Options of {@link PeerLoadEstimate}. */
export interface PeerLoadEstimateOptions {
    readonly clock: Clock;
    /** Age in milliseconds of what this process knows of its peers' loads. */
    readonly viewAge?: number;
    /** Part of this process's own change that its peers are expected to have had as well, from 0 to 1. */
    readonly follow?: number;
}

/** Heartbeats pass two relays, so that peers' loads are 0.2 to 0.9 s old. */
const defaultViewAge = 900;
/**
 * Below 1, since a process with few requests sees changes that are chance. In simulated waves near the capacity, 43
 * gateways served 0.67 of the requests in time with 0, 0.95 with 0.25, 0.998 with 0.5, and 0.995 with 1.
 */
const defaultFollow = 0.5;

/** A request that has begun or ended on a chain. */
interface Change {
    readonly at: number;
    readonly count: 1 | -1;
}

/**
 * Estimates the present load that peers put on chains from a report of their load that is up to a second old. Peers see
 * the same reports, and choose as this process does: when it has begun more requests on a chain within the age of the
 * report than it has ended, so have they, in proportion to their requests. It answers waves of load, in which 43
 * gateways with equal views would all turn to the same chain.
 */
export class PeerLoadEstimate {
    private readonly changes = new Map<string, Change[]>();

    constructor(private readonly options: PeerLoadEstimateOptions) {}

    /** Records that a request of this process has begun on the chains with a first target. */
    begin(headId: string): void {
        this.note(headId, 1);
    }

    /** Records that a request of this process has ended. */
    end(headId: string): void {
        this.note(headId, -1);
    }

    /**
     * Returns the estimated number of requests of peers on the chains with a first target.
     *
     * @param reported - Their number in the newest report.
     * @param peerRatio - Requests of all peers for each request of this process.
     */
    estimate(headId: string, reported: number, peerRatio: number): number {
        const change = this.recent(headId).reduce((sum, { count }) => sum + count, 0);
        return Math.max(0, reported + change * peerRatio * (this.options.follow ?? defaultFollow));
    }

    private note(headId: string, count: 1 | -1): void {
        const changes = this.recent(headId);
        changes.push({ at: this.options.clock.now(), count });
        this.changes.set(headId, changes);
    }

    /** Returns the changes within the age of a report, and discards earlier ones. */
    private recent(headId: string): Change[] {
        const changes = this.changes.get(headId) ?? [];
        const start = this.options.clock.now() - (this.options.viewAge ?? defaultViewAge);
        const firstRecent = changes.findIndex(({ at }) => at > start);
        changes.splice(0, firstRecent === -1 ? changes.length : firstRecent);
        if (changes.length === 0) {
            this.changes.delete(headId);
        }
        return changes;
    }
}
