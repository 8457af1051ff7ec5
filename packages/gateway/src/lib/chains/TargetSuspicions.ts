import { type Clock } from "@waxwingspar/utils";

/**
 * Why a target is avoided: it seems lost, so that its layers should go elsewhere, or it cannot take requests just now.
 */
export type SuspicionKind = "lost" | "busy";

interface Suspicion {
    readonly kind: SuspicionKind;
    /** On the clock. */
    readonly end: number;
}

/**
 * Targets that this process has reason to avoid for a while, although the platform lists them as ready.
 */
export class TargetSuspicions {
    private readonly suspicions = new Map<string, Suspicion>();
    private revisionCount = 0;

    constructor(private readonly clock: Clock) {}

    /** Grows with every change, apart from suspicions that run out. */
    get revision(): number {
        return this.revisionCount;
    }

    /** Avoids a target for some milliseconds, or longer if it is avoided for longer already. */
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

    /** All targets that are avoided now. */
    list(): string[] {
        return [...this.suspicions.keys()].filter(id => this.has(id));
    }

    /** True while a target seems lost. */
    isLost(id: string): boolean {
        return this.has(id) && this.suspicions.get(id)?.kind === "lost";
    }

    /** All targets that seem lost now. */
    listLost(): string[] {
        return this.list().filter(id => this.isLost(id));
    }
}
