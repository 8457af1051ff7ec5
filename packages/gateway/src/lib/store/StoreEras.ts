/** How a reported era compares with the newest one known. */
export type EraRelation = "same" | "newer" | "older";

/**
 * Tracks the newest era of the store, as reported by its replies and by peers. The era increases each time the store is
 * restored from an older copy.
 */
export class StoreEras {
    private newest: number | undefined;
    private readonly listeners = new Set<() => void>();

    /** Undefined until an era has been reported. */
    get current(): number | undefined {
        return this.newest;
    }

    /**
     * Calls the listener whenever a newer era replaces a known one.
     *
     * @returns Removes the listener.
     */
    onNewEra(listener: () => void): () => void {
        this.listeners.add(listener);
        return () => void this.listeners.delete(listener);
    }

    /** Records a reported era. A reply without an era counts as "same". */
    observe(era: number | undefined): EraRelation {
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
