import { failure, type Outcome, platformCodes } from "@waxwingspar/utils";
import { Result } from "true-myth";
import { type z } from "zod";

/**
 * Parses a stored value with a schema. A value that does not fit fails the call, not the process.
 *
 * @param name - The name of the row or object, for the error message.
 *
 * @internal
 */
export function readValue<T extends z.ZodType>(schema: T, value: unknown, name: string): Outcome<z.infer<T>> {
    const parsed = schema.safeParse(value);
    return parsed.success
        ? Result.ok(parsed.data)
        : Result.err(failure(platformCodes.storeUnavailable, `${name} cannot be read`));
}

/** Parses JSON text with a schema. @internal */
export function readJson<T extends z.ZodType>(schema: T, text: string, name: string): Outcome<z.infer<T>> {
    try {
        return readValue(schema, JSON.parse(text), name);
    }
    catch {
        return Result.err(failure(platformCodes.storeUnavailable, `${name} is not JSON`));
    }
}
