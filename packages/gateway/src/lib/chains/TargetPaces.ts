import { type Clock } from "@waxwingspar/utils";

/** From this on a target counts as slow. Chosen: what jitter of reports makes of a sound one stays below. */
const slowFrom = 1.5;
/** Milliseconds for which a report is believed without a newer one: two rounds of reports and their lag. */
const reportTrust = 8_000;
/** Milliseconds for which a peer's word is believed without a newer one: some heartbeats. */
const peerTrust = 1_000;

interface Pace {
    readonly slowdown: number;
    /** On the clock. */
    readonly end: number;
}

/** Slow targets by id, and how many times longer than their accelerators should they take. */
export type SlowTargets = Readonly<Record<string, number>>;

/** Which targets are slow, by reports that this process has seen and by what its peers say of theirs. */
export class TargetPaces {
    private readonly own = new Map<string, Pace>();
    private readonly heard = new Map<string, Pace>();

    constructor(private readonly clock: Clock) {}

    /** Takes what a target reports of itself. */
    observe(id: string, slowdown: number): void {
        if (slowdown >= slowFrom) {
            this.own.set(id, { slowdown, end: this.clock.now() + reportTrust });
        }
        else {
            this.own.delete(id);
            this.heard.delete(id);
        }
    }

    /** Forgets what was known of a target, for instance because it has started again. */
    forget(id: string): void {
        this.own.delete(id);
        this.heard.delete(id);
    }

    /** Takes the slow targets that a peer knows by itself. */
    hear(slow: SlowTargets): void {
        const end = this.clock.now() + peerTrust;
        Object.entries(slow).forEach(([id, slowdown]) => this.heard.set(id, { slowdown, end }));
    }

    /** How many times longer than it should a target takes: 1 unless it is known to be slow. */
    slowdown(id: string): number {
        return Math.max(1, this.valid(this.own, id), this.valid(this.heard, id));
    }

    /** The slow targets that this process knows by itself, for its peers. */
    listOwn(): SlowTargets {
        const slow = [...this.own.keys()].map(id => [id, this.valid(this.own, id)] as const);
        return Object.fromEntries(slow.filter(([, slowdown]) => slowdown > 1));
    }

    /** Changes with the slow targets and, in whole steps, with how slow they are. */
    get fingerprint(): string {
        const ids = [...new Set([...this.own.keys(), ...this.heard.keys()])].sort();
        return ids.map(id => [id, Math.round(this.slowdown(id))] as const)
            .filter(([, slowdown]) => slowdown > 1)
            .join();
    }

    private valid(paces: Map<string, Pace>, id: string): number {
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
