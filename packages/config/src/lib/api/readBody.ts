import { ByteAccumulator, failure, type Outcome, requestCodes, resourceCodes } from "@waxwingspar/utils";
import { parse, type ParseError, printParseErrorCode } from "jsonc-parser";
import { type IncomingMessage } from "node:http";
import { Result } from "true-myth";

/** The maximum size of a request body in bytes. */
const maxBody = 8 * 1024 * 1024;

/**
 * Reads the body of a request as JSON with comments.
 *
 * @returns The parsed value, or the failure: `tooLarge`, `malformed` if the body is incomplete, or `invalidSyntax` with
 * the position of the first error.
 * @internal
 */
export async function readBody(message: IncomingMessage): Promise<Outcome<unknown>> {
    const body = new ByteAccumulator();
    try {
        for await (const part of message as AsyncIterable<Buffer>) {
            if (body.length + part.length > maxBody) {
                return Result.err(failure(requestCodes.tooLarge, `the request body exceeds ${maxBody} bytes`));
            }
            body.add(part);
        }
    }
    catch {
        return Result.err(failure(requestCodes.malformed, "the request ended before its body was complete"));
    }
    return parseJsonc(body.take().toString());
}

/**
 * Parses JSON with comments.
 *
 * @public
 */
export function parseJsonc(text: string): Outcome<unknown> {
    const errors: ParseError[] = [];
    const value: unknown = parse(text, errors, { allowTrailingComma: true });
    const [first] = errors;
    if (first === undefined && value !== undefined) {
        return Result.ok(value);
    }
    const before = text.slice(0, first?.offset ?? 0).split("\n");
    const reason = first === undefined ? "the text is empty" : printParseErrorCode(first.error);
    const column = (before.at(-1)?.length ?? 0) + 1;
    return Result.err(failure(resourceCodes.invalidSyntax, `line ${before.length}, column ${column}: ${reason}`));
}
