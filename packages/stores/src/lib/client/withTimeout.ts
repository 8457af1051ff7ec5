import { type Clock, failure, type Outcome, platformCodes } from "@waxwingspar/utils";
import { Result } from "true-myth";

/**
 * Waits for a call to the store, and returns `storeUnknown` if it takes too long. The call itself is not cancelled.
 *
 * @param timeout - Milliseconds to wait.
 * @internal
 */
export function withTimeout<T>(clock: Clock, timeout: number, call: Promise<Outcome<T>>): Promise<Outcome<T>> {
    return new Promise((resolve, reject) => {
        const timer = clock.schedule(() => {
            resolve(Result.err(failure(platformCodes.storeUnknown, `no answer within ${timeout} ms`)));
        }, timeout);
        call.then(resolve, reject).finally(() => timer.cancel());
    });
}
