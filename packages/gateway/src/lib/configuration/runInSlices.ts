import { type Clock } from "@waxwingspar/utils";

/** Milliseconds for which a slice runs: shorter than the pauses between events of a stream. */
const sliceTime = 5;

/**
 * Runs a long computation in slices, so that the process goes on with its other work between them.
 *
 * @param steps - Yields after each short step, and returns the result.
 * @param pause - Lets other work run.
 * @throws What the computation throws.
 */
export async function runInSlices<T>(
    steps: Iterator<undefined, T, undefined>,
    clock: Clock,
    pause: () => Promise<void> = () => new Promise(resolve => setImmediate(resolve)),
): Promise<T> {
    let sliceEnd = clock.now() + sliceTime;
    for (let step = steps.next();; step = steps.next()) {
        if (step.done === true) {
            return step.value;
        }
        if (clock.now() >= sliceEnd) {
            await pause();
            sliceEnd = clock.now() + sliceTime;
        }
    }
}
