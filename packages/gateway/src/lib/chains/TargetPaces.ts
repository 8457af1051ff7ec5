import { type Clock } from "@waxwingspar/utils";

/** Slowdown from which a target counts as slow; the jitter of a healthy target's reports stays below it. */
const slowThreshold = 1.5;
/** Milliseconds for which a report stays valid without a newer one: two rounds of reports and their lag. */
const reportLifetime = 8_000;
/** Milliseconds for which slow targets reported by peers stay listed without a newer report: several heartbeats. */
const peerReportLifetime = 1_000;

interface Pace {
    readonly slowdown: number;
    /** When the value expires, on the clock. */
    readonly end: number;
}

/** The slowdown of each slow target, by target id. */
export type SlowTargets = Readonly<Record<string, number>>;

/** Tracks which targets are slow, according to reports to this process and to its peers. */
export class TargetPaces {
    private readonly observed = new Map<string, Pace>();
    private readonly peerReported = new Map<string, Pace>();

    constructor(private readonly clock: Clock) {}

    /** Records the slowdown that a target reports. */
    observe(id: string, slowdown: number): void {
        if (slowdown >= slowThreshold) {
            this.observed.set(id, { slowdown, end: this.clock.now() + reportLifetime });
        }
        else {
            this.observed.delete(id);
            this.peerReported.delete(id);
        }
    }

    /** Discards the slowdown of a target, for instance because it has restarted. */
    forget(id: string): void {
        this.observed.delete(id);
        this.peerReported.delete(id);
    }

    /** Records the slow targets that peers have observed themselves. */
    recordPeerReports(slow: SlowTargets): void {
        const end = this.clock.now() + peerReportLifetime;
        Object.entries(slow).forEach(([id, slowdown]) => this.peerReported.set(id, { slowdown, end }));
    }

    /** Returns the slowdown of a target, which is 1 unless the target is known to be slow. */
    slowdown(id: string): number {
        return Math.max(1, this.currentSlowdown(this.observed, id), this.currentSlowdown(this.peerReported, id));
    }

    /** Returns the slow targets that this process has observed itself, to be sent to its peers. */
    listObserved(): SlowTargets {
        const slow = [...this.observed.keys()].map(id => [id, this.currentSlowdown(this.observed, id)] as const);
        return Object.fromEntries(slow.filter(([, slowdown]) => slowdown > 1));
    }

    /** Changes with the set of slow targets and with their slowdowns, rounded to integers. */
    get fingerprint(): string {
        const ids = [...new Set([...this.observed.keys(), ...this.peerReported.keys()])].sort();
        return ids.map(id => [id, Math.round(this.slowdown(id))] as const)
            .filter(([, slowdown]) => slowdown > 1)
            .join();
    }

    private currentSlowdown(paces: Map<string, Pace>, id: string): number {
        const pace = paces.get(id);
        if (pace === undefined) {
            return 1;
        }
        if (pace.end > this.clock.now()) {
            return pace.slowdown;
        }
        paces.delete(id);
        return 1;
    }
}
