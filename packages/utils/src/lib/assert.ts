/**
 * Throws if a condition that the code relies on is false. For defects of the program, not for invalid input.
 *
 * @param condition - What must be true.
 * @param message - What was expected.
 * @public
 */
export function assert(condition: unknown, message = "assertion failed"): asserts condition {
    if (!condition) {
        throw new Error(message);
    }
}

/**
 * Ends an exhaustive switch: the call does not compile while a case is missing.
 *
 * @param value - The value that no case handled.
 * @public
 */
export function assertNever(value: never): never {
    throw new Error(`unexpected value: ${JSON.stringify(value)}`);
}
