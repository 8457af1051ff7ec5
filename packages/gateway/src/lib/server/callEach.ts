/**
 * Calls functions one after the other, also if some of them throw.
 *
 * @param onError - Called with what they throw; by default it is thrown again in a later turn of the event loop, where the
 * process logs it.
 */
export function callEach(callbacks: readonly (() => void)[], onError: (error: unknown) => void = throwLater): void {
    for (const callback of callbacks) {
        try {
            callback();
        }
        catch (error) {
            onError(error);
        }
    }
}

function throwLater(error: unknown): void {
    setImmediate(() => {
        throw error;
    });
}
