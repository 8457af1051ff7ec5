import { type Clock } from "@waxwingspar/utils";

/**
 * Why a target is avoided: "lost" if it appears to have failed, so that its layers should be placed elsewhere; "busy"
 * if it temporarily takes no requests.
 */
export type SuspicionKind = "lost" | "busy";

interface Suspicion {
    readonly kind: SuspicionKind;
    /** When the suspicion expires, on the clock. */
    readonly end: number;
}

/** Tracks the targets that this process avoids for a while, although the platform lists them as ready. */
export class TargetSuspicions {
    private readonly suspicions = new Map<string, Suspicion>();
    private revisionCount = 0;

    constructor(private readonly clock: Clock) {}

    /** Increases whenever a suspicion is added, changed or removed; expired ones are removed by the next query. */
    get revision(): number {
        return this.revisionCount;
    }

    /** Avoids a target for a number of milliseconds; a suspicion of the same kind that ends later stays as it is. */
    suspect(id: string, kind: SuspicionKind, duration: number): void {
        const end = this.clock.now() + duration;
        const known = this.suspicions.get(id);
        if (known === undefined || known.kind !== kind || end > known.end) {
            this.suspicions.set(id, { kind, end });
            this.revisionCount++;
        }
    }

    clear(id: string): void {
        if (this.suspicions.delete(id)) {
            this.revisionCount++;
        }
    }

    has(id: string): boolean {
        const suspicion = this.suspicions.get(id);
        if (suspicion === undefined) {
            return false;
        }
        if (suspicion.end > this.clock.now()) {
            return true;
        }
        this.clear(id);
        return false;
    }

    /** Returns the ids of all targets that are avoided now. */
    list(): string[] {
        return [...this.suspicions.keys()].filter(id => this.has(id));
    }

    /** Whether a target is suspected to be lost. */
    isLost(id: string): boolean {
        return this.has(id) && this.suspicions.get(id)?.kind === "lost";
    }

    /** Returns the ids of all targets that are suspected to be lost. */
    listLost(): string[] {
        return this.list().filter(id => this.isLost(id));
    }
}
