import { type Clock } from "@waxwingspar/utils";

/**
 * Targets that this process has reason to avoid for a while, although the platform lists them as ready.
 */
export class TargetSuspicions {
    private readonly until = new Map<string, number>();
    private revisionCount = 0;

    constructor(private readonly clock: Clock) {}

    /** Grows with every change, apart from suspicions that run out. */
    get revision(): number {
        return this.revisionCount;
    }

    /** Avoids a target for some milliseconds, or longer if it is avoided for longer already. */
    suspect(id: string, duration: number): void {
        const end = this.clock.now() + duration;
        if (end > (this.until.get(id) ?? -Infinity)) {
            this.until.set(id, end);
            this.revisionCount++;
        }
    }

    clear(id: string): void {
        if (this.until.delete(id)) {
            this.revisionCount++;
        }
    }

    has(id: string): boolean {
        const end = this.until.get(id);
        if (end === undefined) {
            return false;
        }
        if (end > this.clock.now()) {
            return true;
        }
        this.clear(id);
        return false;
    }

    /** All targets that are avoided now. */
    list(): string[] {
        return [...this.until.keys()].filter(id => this.has(id));
    }
}
