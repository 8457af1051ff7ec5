import { failure, type Outcome, platformCodes } from "@waxwingspar/utils";
import { Result } from "true-myth";
import { type z } from "zod";

/**
 * Reads a value from the store by its schema. A value that does not fit fails the call, not the process.
 *
 * @param name - What is read, for the message.
 *
 * @internal
 */
export function readValue<T extends z.ZodType>(schema: T, value: unknown, name: string): Outcome<z.infer<T>> {
    const parsed = schema.safeParse(value);
    return parsed.success
        ? Result.ok(parsed.data)
        : Result.err(failure(platformCodes.storeUnavailable, `${name} cannot be read`));
}

/** Reads JSON text by its schema. @internal */
export function readJson<T extends z.ZodType>(schema: T, text: string, name: string): Outcome<z.infer<T>> {
    try {
        return readValue(schema, JSON.parse(text), name);
    }
    catch {
        return Result.err(failure(platformCodes.storeUnavailable, `${name} is not JSON`));
    }
}
