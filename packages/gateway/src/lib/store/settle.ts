import { type StoreFailure } from "./Store.js";

/** Converts an exception to a failure, so that whoever follows a table goes on whatever its rows cause. */
export async function settle<T>(call: () => Promise<T>): Promise<T | StoreFailure> {
    try {
        return await call();
    }
    catch (error) {
        return { kind: "unavailable", reason: `rows could not be applied: ${String(error)}` };
    }
}
