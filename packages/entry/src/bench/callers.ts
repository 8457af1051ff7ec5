import { Agent, request } from "node:http";
import { microseconds } from "./microseconds.js";

/** Results of the callers of one run. Times are in microseconds. */
export interface CallerFigures {
    /** From sending a request to its first token. */
    readonly firstTokens: number[];
    /** From the sending of a token by the head or the direct server to its arrival at the caller. */
    readonly tokenDelays: number[];
    tokens: number;
    failed: number;
}

/** @internal */
export interface CallerOptions {
    readonly port: number;
    /** Number of concurrent callers, each with one request in progress. */
    readonly streams: number;
    readonly tokensEach: number;
    /** Requests that each caller sends, one after the other. */
    readonly rounds: number;
    /** Milliseconds over which the starts of the callers are spread. */
    readonly ramp: number;
}

const contentPattern = /"content":" (\d+)"/g;

/** Runs callers against a port until each has received all its answers. */
export async function runCallers(options: CallerOptions): Promise<CallerFigures> {
    const figures: CallerFigures = { firstTokens: [], tokenDelays: [], tokens: 0, failed: 0 };
    const agent = new Agent({ keepAlive: true });
    const callers = Array.from({ length: options.streams }, async (_, index) => {
        await new Promise(resolve => setTimeout(resolve, options.ramp * index / options.streams));
        for (let round = 0; round < options.rounds; round++) {
            await call(options, agent, figures);
        }
    });
    await Promise.all(callers);
    agent.destroy();
    return figures;
}

function call({ port, tokensEach }: CallerOptions, agent: Agent, figures: CallerFigures): Promise<void> {
    const messages = [{ role: "user", content: "Why does the mast hum when it is lowered?" }];
    const body = JSON.stringify({ model: "demo", stream: true, max_tokens: tokensEach, messages });
    return new Promise(resolve => {
        const sentAt = microseconds();
        let tokens = 0;
        const outgoing = request(
            { port, host: "127.0.0.1", agent, method: "POST", path: "/v1/chat/completions" },
            response => {
                response.setEncoding("latin1");
                response.on("data", (chunk: string) => {
                    const now = microseconds();
                    for (const [, time] of chunk.matchAll(contentPattern)) {
                        figures.tokenDelays.push(now - Number(time));
                        if (tokens++ === 0) {
                            figures.firstTokens.push(now - sentAt);
                        }
                    }
                });
                response.on("close", () => {
                    figures.tokens += tokens;
                    figures.failed += tokens === tokensEach ? 0 : 1;
                    resolve();
                });
            },
        );
        outgoing.on("error", () => {
            figures.failed++;
            resolve();
        });
        outgoing.end(body);
    });
}
