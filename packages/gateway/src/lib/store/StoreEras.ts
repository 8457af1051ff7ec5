/** How an era that is told stands to the newest one that is known. */
export type EraRelation = "same" | "newer" | "older";

/** The newest era of the store that this process knows, from the store's answers and the words of peers. */
export class StoreEras {
    private newest: number | undefined;
    private readonly listeners = new Set<() => void>();

    /** Undefined before the store has told any. */
    get current(): number | undefined {
        return this.newest;
    }

    /** Calls back when an era follows another one that was known here. @returns Ends that. */
    onRise(listener: () => void): () => void {
        this.listeners.add(listener);
        return () => void this.listeners.delete(listener);
    }

    /** Takes an era that is told; an answer without one says nothing. */
    note(era: number | undefined): EraRelation {
        if (era === undefined || era === this.newest) {
            return "same";
        }
        if (this.newest === undefined) {
            this.newest = era;
            return "same";
        }
        if (era < this.newest) {
            return "older";
        }
        this.newest = era;
        [...this.listeners].forEach(listener => listener());
        return "newer";
    }
}
