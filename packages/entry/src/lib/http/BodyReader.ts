import { failure, type Outcome, requestCodes } from "@waxwingspar/utils";
import { Result } from "true-myth";
import { type Exchange } from "./Exchange.js";

/**
 * Reads request bodies, within a limit for each and one for the bodies of all requests in progress together.
 *
 * @internal
 */
export class BodyReader {
    private held = 0;

    /** @param maxMemory - Bytes that all bodies together may hold. */
    constructor(private readonly maxMemory: number) {}

    /**
     * Reads a whole body.
     *
     * @param limit - Bytes that this body may have.
     * @returns The body; `tooLarge`, `overloaded` when all bodies together hold too much, or `cancelled` when the
     * caller went away.
     */
    async read(exchange: Exchange, limit: number): Promise<Outcome<Uint8Array<ArrayBuffer>>> {
        const { request } = exchange;
        if (Number(request.headers["content-length"] ?? 0) > limit) {
            return Result.err(tooLarge(limit));
        }
        const body = new BodyParts();
        exchange.response.once("close", () => {
            this.held -= body.size;
        });
        const outcome = await new Promise<Outcome<Uint8Array<ArrayBuffer>>>(resolve => {
            request.on("data", (chunk: Buffer) => {
                this.held += chunk.length;
                body.add(chunk);
                if (body.size > limit) {
                    resolve(Result.err(tooLarge(limit)));
                }
                else if (this.held > this.maxMemory) {
                    resolve(
                        Result.err(failure(requestCodes.overloaded, "the bodies of all requests hold too much memory")),
                    );
                }
            });
            request.once("end", () => resolve(Result.ok(body.whole())));
            request.once("close", () => resolve(Result.err(failure(requestCodes.cancelled, "the caller went away"))));
        });
        request.removeAllListeners("data");
        request.pause();
        return outcome;
    }
}

class BodyParts {
    size = 0;
    private readonly chunks: Buffer[] = [];

    add(chunk: Buffer): void {
        this.size += chunk.length;
        this.chunks.push(chunk);
    }

    whole(): Uint8Array<ArrayBuffer> {
        return Buffer.concat(this.chunks);
    }
}

function tooLarge(limit: number) {
    return failure(requestCodes.tooLarge, `the body exceeds ${limit} bytes`);
}
