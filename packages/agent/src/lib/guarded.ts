import { type Failure, failure, type Outcome, requestCodes } from "@waxwingspar/utils";
import { Result } from "true-myth";

/**
 * Calls the engine. An adapter ought to return its failures; one that throws must not take the agent down with it.
 *
 * @internal
 */
export async function guarded<T>(call: () => Promise<Outcome<T>>): Promise<Outcome<T>> {
    try {
        return await call();
    }
    catch (error) {
        return Result.err<T, Failure>(failure(requestCodes.engineFailed, `the engine call failed: ${String(error)}`));
    }
}
