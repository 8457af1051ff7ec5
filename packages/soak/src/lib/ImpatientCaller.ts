import { type Random, uniqueId } from "@waxwingspar/utils";
import { request } from "node:http";
import { setTimeout as pause } from "node:timers/promises";

/** Options of {@link ImpatientCaller}. */
export interface ImpatientCallerOptions {
    readonly port: number;
    readonly random: Random;
    readonly now: () => number;
    /** Milliseconds without an answer after which an attempt is given up. */
    readonly patience: number;
    readonly maxAttempts: number;
    /** Receives the id of each attempt that its caller gave up, and when. */
    readonly onLeft: (requestId: string, at: number) => void;
}

/** The end of one attempt. */
interface AttemptEnd {
    readonly isServed: boolean;
    /** Milliseconds after which the gateway told the caller to return. */
    readonly retryAfter: number;
}

const millisecondsPerSecond = 1_000;
const success = 200;
const paths = [
    { path: "/chat/1", method: "POST", share: 0.7 },
    { path: "/get/1", method: "GET", share: 0.3 },
];

/** A caller of one request, who leaves an attempt that brings no answer soon and repeats it at once. */
export class ImpatientCaller {
    constructor(private readonly options: ImpatientCallerOptions) {}

    /** @returns The attempt that was served, from 1; undefined if none was. */
    async run(): Promise<number | undefined> {
        const { path, method } = this.options.random.next() < paths[0]!.share ? paths[0]! : paths[1]!;
        for (let attempt = 1; attempt <= this.options.maxAttempts; attempt++) {
            const { isServed, retryAfter } = await this.attempt(path, method);
            if (isServed) {
                return attempt;
            }
            if (retryAfter > 0) {
                await pause(retryAfter);
            }
        }
        return undefined;
    }

    private attempt(path: string, method: string): Promise<AttemptEnd> {
        const { port, patience, now, onLeft } = this.options;
        const requestId = uniqueId();
        return new Promise(resolve => {
            const outgoing = request({
                host: "127.0.0.1",
                port,
                path,
                method,
                agent: false,
                headers: {
                    Host: "a.example",
                    Authorization: "Bearer key-1",
                    "Waxwingspar-Request-Id": requestId,
                    "Waxwingspar-Deadline-Ms": "5000",
                },
            });
            const timer = setTimeout(() => {
                onLeft(requestId, now());
                outgoing.destroy();
            }, patience);
            const end = (isServed: boolean, retryAfter = 0) => {
                clearTimeout(timer);
                resolve({ isServed, retryAfter });
            };
            outgoing.once("error", () => end(false));
            outgoing.once("response", response => {
                clearTimeout(timer);
                response.resume();
                response.on("error", () => undefined);
                const retryAfter = Number(response.headers["retry-after"] ?? 0) * millisecondsPerSecond;
                response.once("close", () => end(response.statusCode === success && response.complete, retryAfter));
            });
            outgoing.end();
        });
    }
}
