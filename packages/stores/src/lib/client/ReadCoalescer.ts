/**
 * Coalesces equal reads made in the same turn of the event loop into one call. A read never joins a call of an earlier
 * turn, whose response may be older than what the reader has already seen.
 *
 * @internal
 */
export class ReadCoalescer {
    private readonly reads = new Map<string, Promise<unknown>>();

    /**
     * Starts a read, or joins an equal one started in this turn.
     *
     * @param name - Equal for equal reads.
     */
    run<T>(name: string, read: () => Promise<T>): Promise<T> {
        const shared = this.reads.get(name) as Promise<T> | undefined;
        if (shared !== undefined) {
            return shared;
        }
        const started = read();
        this.reads.set(name, started);
        queueMicrotask(() => this.reads.delete(name));
        return started;
    }
}
