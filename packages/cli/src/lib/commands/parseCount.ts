import { InvalidArgumentError } from "commander";

/**
 * Parses a whole number from 0 on.
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
