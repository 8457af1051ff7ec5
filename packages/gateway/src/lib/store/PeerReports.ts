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
    /** When a peer last reported that it is receiving rows. */
    private pendingAt = -Infinity;

    constructor(private readonly clock: Clock) {}

    /** Whether a peer reported a change that this process has not read yet. */
    get hasNewer(): boolean {
        return this.newerSince !== undefined;
    }

    /** Milliseconds since a peer reported such a change; undefined if there is none. */
    get newerFor(): number | undefined {
        return this.newerSince === undefined ? undefined : this.clock.now() - this.newerSince;
    }

    /** Milliseconds since the latest moment to which a peer confirmed the state known here. */
    get confirmationAge(): number {
        return this.confirmedAt === undefined ? Infinity : ageOf(this.confirmedAt, this.clock);
    }

    /** Whether a peer reported lately that it is receiving rows. */
    get isPending(): boolean {
        return this.clock.now() - this.pendingAt < pendingLifetime;
    }

    /** Records a report that a peer is receiving rows. */
    notePending(): void {
        this.pendingAt = this.clock.now();
    }

    /** Records a report of a change that is not known here. */
    noteNewer(version: number): void {
        this.version = Math.max(version, this.version);
        this.newerSince ??= this.clock.now();
    }

    /** Records that a peer confirmed the state known here. */
    confirm(moment: Moment): void {
        this.confirmedAt = latestMoment(this.confirmedAt, moment);
    }

    /** Records that this process knows the table up to a version. */
    reach(version: number): void {
        if (version >= this.version) {
            this.newerSince = undefined;
        }
    }

    /** Forgets all versions, because the store was restored from a copy. */
    forget(): void {
        this.version = 0;
        this.newerSince = undefined;
    }
}
