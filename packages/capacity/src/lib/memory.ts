/** Bytes in use after a collection, typed arrays included. Needs `--expose-gc`. @internal */
export function usedBytes(): number {
    globalThis.gc?.();
    globalThis.gc?.();
    const { heapUsed, arrayBuffers } = process.memoryUsage();
    return heapUsed + arrayBuffers;
}

/** Processor time of this process so far, in microseconds. @internal */
export function processorTime(): number {
    const { user, system } = process.cpuUsage();
    return user + system;
}

/** Keeps a value reachable while its memory is read. */
const holder: { kept?: unknown; } = {};

/**
 * Bytes that a value keeps: the difference that a second one makes, once code and tables that are built at the first
 * use are there.
 *
 * @internal
 */
export function bytesKept(build: () => unknown): number {
    const first = build();
    const before = usedBytes();
    holder.kept = [first, build()];
    const after = usedBytes();
    holder.kept = undefined;
    return after - before;
}

/**
 * Processor time of one run of an action, in microseconds: the mean over enough runs to take a tenth of a second.
 *
 * @internal
 */
export function timePerRun(action: (index: number) => void): number {
    const enough = 100_000;
    let runs = 0;
    for (let batch = 16;; batch *= 2) {
        const before = processorTime();
        for (let index = 0; index < batch; index++) {
            action(runs++);
        }
        const used = processorTime() - before;
        if (used > enough) {
            return used / batch;
        }
    }
}
