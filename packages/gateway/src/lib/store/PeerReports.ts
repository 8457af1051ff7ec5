import { type Clock } from "@waxwingspar/utils";
import { ageOf, latestMoment, type Moment } from "../Moment.js";

/** Milliseconds for which a report that a peer is receiving rows counts: three heartbeats. */
const pendingLifetime = 600;

/** What peers have reported about a table that this process follows. */
export class PeerReports {
    /** The newest store version at which the table changed, as peers report it. */
    version = 0;
    /** When a peer first reported a change that this process has not read yet; undefined if there is none. */
    private newerSince: number | undefined;
    /** The latest moment to which a peer confirmed the state known here. */
    private confirmedAt: Moment | undefined;
    /** When a peer first and last reported that it is receiving rows, without a break. */
    private pending = { since: -Infinity, last: -Infinity };

    constructor(private readonly clock: Clock) {}

    /** Whether a peer reported a change that this process has not read yet. */
    get hasNewer(): boolean {
        return this.newerSince !== undefined;
    }

    /** Milliseconds since a peer reported such a change, known or on its way; undefined if there is none. */
    get newerFor(): number | undefined {
        const since = this.newerSince ?? (this.isPending ? this.pending.since : undefined);
        return since === undefined ? undefined : this.clock.now() - since;
    }

    /** Milliseconds since the latest moment to which a peer confirmed the state known here. */
    get confirmationAge(): number {
        return this.confirmedAt === undefined ? Infinity : ageOf(this.confirmedAt, this.clock);
    }

    /** Whether a peer reported lately that it is receiving rows. */
    get isPending(): boolean {
        return this.clock.now() - this.pending.last < pendingLifetime;
    }

    /** Records a report that a peer is receiving rows. */
    notePending(): void {
        const now = this.clock.now();
        this.pending = { since: this.isPending ? this.pending.since : now, last: now };
    }

    /** Records a report of a change that is not known here. */
    noteNewer(version: number): void {
        this.version = Math.max(version, this.version);
        this.newerSince ??= this.clock.now() - (this.newerFor ?? 0);
    }

    /** Records that a peer confirmed the state known here. */
    confirm(moment: Moment): void {
        this.confirmedAt = latestMoment(this.confirmedAt, moment);
    }

    /** Records that this process knows the table up to a version. */
    reach(version: number): void {
        if (version >= this.version) {
            this.newerSince = undefined;
            this.pending = { since: -Infinity, last: -Infinity };
        }
    }

    /** Forgets all versions, because the store was restored from a copy. */
    forget(): void {
        this.version = 0;
        this.newerSince = undefined;
    }
}
