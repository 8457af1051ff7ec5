/**
 * Lets equal reads of one turn of the event loop share one call. A read never joins a call of an earlier turn, whose
 * answer may be older than what the reader has seen.
 *
 * @internal
 */
export class ReadSharing {
    private readonly reads = new Map<string, Promise<unknown>>();

    /**
     * Runs a read, or joins an equal one of this turn.
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
