import { type Random, uniqueId } from "@waxwingspar/utils";
import { request } from "node:http";
import { setTimeout as pause } from "node:timers/promises";

/** How an attempt of a caller ended. */
export type AttemptOutcome =
    /** A complete answer, without a pause that makes callers leave. */
    | "served"
    /** An answer that promises that the request has not run. */
    | "refused"
    /** The connection was closed before an answer began. */
    | "closed"
    /** No answer began in time, or its next part did not come. */
    | "left"
    | "failed";

/** The end of one attempt of a caller. */
export interface AttemptEnd {
    readonly outcome: AttemptOutcome;
    /** Milliseconds until the answer began; undefined if none did. */
    readonly firstByte: number | undefined;
}

/** Options of {@link HerdCaller}. */
export interface HerdCallerOptions {
    readonly random: Random;
    readonly now: () => number;
    /** Chooses the port of the gateway for an attempt, from 1. */
    readonly choosePort: (attempt: number) => number;
    /** Receives the end of each attempt. */
    readonly onEnd: (attempt: number, port: number, end: AttemptEnd) => void;
    readonly maxAttempts: number;
}

/** Milliseconds after which callers leave a gateway that does not answer. */
const patience = 1_000;
/** Milliseconds after which callers leave a stream whose next event does not come. */
const streamPatience = 2_000;
const millisecondsPerSecond = 1_000;
const success = 200;
const refusals = [429, 503];
const streamShare = 0.85;

/** A caller of one request, who repeats it on a new connection to another gateway when it was not answered. */
export class HerdCaller {
    constructor(private readonly options: HerdCallerOptions) {}

    async run(): Promise<void> {
        const { random, maxAttempts, choosePort, onEnd } = this.options;
        const isStream = random.next() < streamShare;
        for (let attempt = 1; attempt <= maxAttempts; attempt++) {
            const port = choosePort(attempt);
            const { retryAfter, ...end } = await this.attempt(port, isStream);
            onEnd(attempt, port, end);
            if (end.outcome === "served" || end.outcome === "failed") {
                return;
            }
            if (retryAfter > 0) {
                await pause(retryAfter);
            }
        }
    }

    private attempt(port: number, isStream: boolean): Promise<AttemptEnd & { readonly retryAfter: number; }> {
        const { now } = this.options;
        const startedAt = now();
        return new Promise(resolve => {
            const outgoing = request({
                host: "127.0.0.1",
                port,
                path: isStream ? "/chat/1" : "/get/1",
                method: isStream ? "POST" : "GET",
                agent: false,
                headers: {
                    Host: "a.example",
                    Authorization: "Bearer key-1",
                    "Waxwingspar-Request-Id": uniqueId(),
                    "Waxwingspar-Deadline-Ms": "20000",
                },
            });
            let firstByte: number | undefined;
            const end = (outcome: AttemptOutcome, retryAfter = 0) => {
                clearTimeout(timer);
                resolve({ outcome, firstByte, retryAfter });
            };
            const leave = () => {
                end("left");
                outgoing.destroy();
            };
            let timer = setTimeout(leave, patience);
            const expectMore = () => {
                clearTimeout(timer);
                timer = setTimeout(leave, streamPatience);
            };
            outgoing.once("error", () => end("closed"));
            outgoing.once("response", response => {
                firstByte = now() - startedAt;
                expectMore();
                response.on("data", expectMore);
                response.on("error", () => undefined);
                response.once("close", () => {
                    if (refusals.includes(response.statusCode ?? 0)) {
                        end("refused", Number(response.headers["retry-after"] ?? 0) * millisecondsPerSecond);
                    }
                    else {
                        end(response.statusCode === success && response.complete ? "served" : "failed");
                    }
                });
            });
            outgoing.end();
        });
    }
}
