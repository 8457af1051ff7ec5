import { type Failure, failure, type Outcome, requestCodes } from "@waxwingspar/utils";
import { Result } from "true-myth";

/**
 * Calls the engine and converts errors to failures. Engine adapters should return failures; one that throws must not
 * crash the agent.
 *
 * @internal
 */
export async function callEngine<T>(call: () => Promise<Outcome<T>>): Promise<Outcome<T>> {
    try {
        return await call();
    }
    catch (error) {
        return Result.err<T, Failure>(failure(requestCodes.engineFailed, `the engine call failed: ${String(error)}`));
    }
}
