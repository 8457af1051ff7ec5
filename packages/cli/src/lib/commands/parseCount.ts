import { InvalidArgumentError } from "commander";

/**
 * Parses an integer of 0 or more.
 *
 * @throws InvalidArgumentError for anything else.
 * @internal
 */
export function parseCount(text: string): number {
    if (!/^\d{1,15}$/.test(text)) {
        throw new InvalidArgumentError("expected a whole number");
    }
    return Number(text);
}
