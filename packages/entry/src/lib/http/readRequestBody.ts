import { readBody } from "@waxwingspar/connections";
import { failure, type Outcome, requestCodes } from "@waxwingspar/utils";
import { Result } from "true-myth";
import { type Exchange } from "./Exchange.js";

/**
 * Reads the whole body of a request, and what arrived with it.
 *
 * @param limit - Maximum size of the body in bytes.
 * @returns The body, or `tooLarge`, or `memoryUsedUp` if callers have used up the memory that they may occupy, or
 * `cancelled` if the caller disconnected.
 * @internal
 */
export async function readRequestBody(exchange: Exchange, limit: number): Promise<Outcome<Uint8Array<ArrayBuffer>>> {
    const { request, response } = exchange;
    const outcome = await new Promise<Outcome<Uint8Array<ArrayBuffer>>>(resolve => {
        request.once("close", () => resolve(Result.err(disconnected())));
        readBody(request, {
            maxBytes: limit,
            whenOver: callback => response.once("close", callback),
            onBody: body => resolve(Result.ok(new Uint8Array(body ?? []))),
            onRefused: reason => resolve(Result.err(reason === "tooLarge" ? tooLarge(limit) : memoryUsedUp())),
        });
    });
    if (outcome.isErr) {
        return exchange.disconnected ? Result.err(disconnected()) : outcome;
    }
    await nextInput();
    return exchange.disconnected ? Result.err(disconnected()) : outcome;
}

/**
 * Resolves after the next input of the process has been handled. The end of a caller's connection that arrived together
 * with its request is read then.
 */
function nextInput(): Promise<void> {
    return new Promise(resolve => setImmediate(() => setImmediate(resolve)));
}

function disconnected() {
    return failure(requestCodes.cancelled, "the caller disconnected");
}

function tooLarge(limit: number) {
    return failure(requestCodes.tooLarge, `the body exceeds ${limit} bytes`);
}

function memoryUsedUp() {
    return failure(requestCodes.memoryUsedUp, "callers have used up the memory that they may occupy");
}
