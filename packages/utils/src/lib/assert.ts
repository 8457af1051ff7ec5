/**
 * Throws when a condition that the code relies on does not hold. For faults of the program, not of its input.
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
 * Closes an exhaustive switch: the compiler rejects the call while a case is missing.
 *
 * @param value - The value that no case took.
 * @public
 */
export function assertNever(value: never): never {
    throw new Error(`unexpected value: ${JSON.stringify(value)}`);
}
