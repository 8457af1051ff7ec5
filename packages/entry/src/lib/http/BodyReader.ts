import { ByteAccumulator, failure, type Outcome, requestCodes } from "@waxwingspar/utils";
import { Result } from "true-myth";
import { type Exchange } from "./Exchange.js";

/**
 * Reads request bodies, with a limit on each body and on the total size of the bodies of all requests in progress.
 *
 * @internal
 */
export class BodyReader {
    private held = 0;

    /** @param maxMemory - Maximum total size of all bodies in bytes. */
    constructor(private readonly maxMemory: number) {}

    /**
     * Reads a whole body, and what arrived with it.
     *
     * @param limit - Maximum size of this body in bytes.
     * @returns The body, or `tooLarge`, or `overloaded` if the bodies of all requests exceed the memory limit, or
     * `cancelled` if the caller disconnected.
     */
    async read(exchange: Exchange, limit: number): Promise<Outcome<Uint8Array<ArrayBuffer>>> {
        const { request } = exchange;
        if (Number(request.headers["content-length"] ?? 0) > limit) {
            return Result.err(tooLarge(limit));
        }
        const body = new ByteAccumulator();
        let size = 0;
        exchange.response.once("close", () => {
            this.held -= size;
        });
        const outcome = await new Promise<Outcome<Uint8Array<ArrayBuffer>>>(resolve => {
            request.on("data", (chunk: Buffer) => {
                this.held += chunk.length;
                size += chunk.length;
                body.add(chunk);
                if (size > limit) {
                    resolve(Result.err(tooLarge(limit)));
                }
                else if (this.held > this.maxMemory) {
                    resolve(
                        Result.err(
                            failure(
                                requestCodes.overloaded,
                                `the bodies of all requests exceed ${this.maxMemory} bytes`,
                            ),
                        ),
                    );
                }
            });
            request.once("end", () => resolve(Result.ok(new Uint8Array(body.take()))));
            request.once(
                "close",
                () => resolve(Result.err(disconnected())),
            );
        });
        request.removeAllListeners("data");
        request.pause();
        await nextInput();
        return exchange.disconnected ? Result.err(disconnected()) : outcome;
    }
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
