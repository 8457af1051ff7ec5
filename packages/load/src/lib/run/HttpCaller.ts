import { type Clock } from "@waxwingspar/utils";
import { StringDecoder } from "node:string_decoder";
import { Agent, request } from "undici";
import { type PlannedCall } from "../plan/LoadSettings.js";
import { AnswerReader } from "./AnswerReader.js";
import { type CallEnd } from "./CallEnd.js";

/** Milliseconds within which a connection must open. */
const connectTimeout = 5000;

/** Error codes of connections that were never opened. */
const connectErrorCodes = new Set([
    "ECONNREFUSED",
    "EHOSTUNREACH",
    "ENETUNREACH",
    "ENOTFOUND",
    "UND_ERR_CONNECT_TIMEOUT",
]);

/**
 * Sends calls to a site over HTTP.
 *
 * @public
 */
export class HttpCaller {
    private readonly agent: Agent;

    /**
     * @param origin - The address at which the site accepts callers, such as `http://127.0.0.1:8080`.
     * @param timeout - Milliseconds within which a call must end.
     */
    constructor(private readonly clock: Clock, private readonly origin: string, private readonly timeout: number) {
        this.agent = new Agent({ connect: { timeout: connectTimeout }, headersTimeout: 0, bodyTimeout: 0 });
    }

    /** Sends a call and reads its answer to the end. Never rejects. */
    async call(planned: PlannedCall): Promise<CallEnd> {
        const controller = new AbortController();
        const timer = this.clock.schedule(() => controller.abort(), this.timeout);
        let reader: AnswerReader | undefined;
        try {
            const { statusCode, body } = await this.send(planned, controller.signal);
            reader = new AnswerReader(this.clock, statusCode, planned.kind === "model");
            const decoder = new StringDecoder("utf8");
            for await (const piece of body as AsyncIterable<Buffer>) {
                reader.read(decoder.write(piece));
            }
            return reader.end();
        }
        catch (error) {
            const outcome = controller.signal.aborted ? "timed out" : outcomeOf(error);
            return reader?.endIncomplete(outcome) ?? { outcome, pieceTimes: [] };
        }
        finally {
            timer.cancel();
        }
    }

    close(): Promise<void> {
        return this.agent.destroy();
    }

    private send({ path, body, caller: { token } }: PlannedCall, signal: AbortSignal) {
        return request(this.origin + path, {
            method: body === undefined ? "GET" : "POST",
            headers: {
                "x-request-timeout": String(this.timeout),
                ...(body === undefined ? {} : { "content-type": "application/json" }),
                ...(token === undefined ? {} : { authorization: `Bearer ${token}` }),
            },
            body,
            signal,
            dispatcher: this.agent,
        });
    }
}

function outcomeOf(error: unknown): "not connected" | "broken" {
    const code = error instanceof Error && "code" in error ? String(error.code) : "";
    return connectErrorCodes.has(code) ? "not connected" : "broken";
}
