/** Bytes in use after a garbage collection, including typed arrays. Needs `--expose-gc`. @internal */
export function readUsedBytes(): number {
    globalThis.gc?.();
    globalThis.gc?.();
    const { heapUsed, arrayBuffers } = process.memoryUsage();
    return heapUsed + arrayBuffers;
}

/** Processor time of this process so far, in microseconds. @internal */
export function readProcessorTime(): number {
    const { user, system } = process.cpuUsage();
    return user + system;
}

/** Keeps values reachable while the memory in use is read. */
const holder: { retained?: unknown; } = {};

/**
 * Bytes that a value retains. Measured on a second value, so that code and tables that are created on first use do not
 * count.
 *
 * @internal
 */
export function measureRetainedBytes(build: () => unknown): number {
    const first = build();
    const before = readUsedBytes();
    holder.retained = [first, build()];
    const after = readUsedBytes();
    holder.retained = undefined;
    return after - before;
}

/**
 * Processor time of one run of an action, in microseconds: the mean over a batch of runs that takes more than a tenth
 * of a second.
 *
 * @internal
 */
export function measureTimePerRun(action: (index: number) => void): number {
    /** Microseconds. */
    const minBatchTime = 100_000;
    let runs = 0;
    for (let batch = 16;; batch *= 2) {
        const before = readProcessorTime();
        for (let index = 0; index < batch; index++) {
            action(runs++);
        }
        const used = readProcessorTime() - before;
        if (used > minBatchTime) {
            return used / batch;
        }
    }
}
