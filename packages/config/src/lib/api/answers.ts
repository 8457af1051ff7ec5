import { type Failure } from "@waxwingspar/utils";
import { type ServerResponse } from "node:http";
import { type ResourceFailure } from "../validation/ResourceFailure.js";
import { type ApiAnswer } from "./ApiContext.js";

const millisecondsPerSecond = 1000;

/** Sends a JSON response. Only ends the response if its headers have already been sent. @internal */
export function sendAnswer(response: ServerResponse, { status, body, headers = {} }: ApiAnswer): void {
    if (response.headersSent) {
        response.end();
        return;
    }
    const text = JSON.stringify(body) + "\n";
    response.writeHead(status, {
        "content-type": "application/json",
        "content-length": Buffer.byteLength(text),
        "cache-control": "no-store",
        ...headers,
    });
    response.end(text);
}

/** Builds the response that lists failures. Its status is that of the first failure. @internal */
export function failureAnswer(failures: readonly (Failure | ResourceFailure)[]): ApiAnswer {
    const retryAfter = failures.find(one => one.retryAfter !== undefined)?.retryAfter;
    return {
        status: failures[0]?.code.status ?? 500,
        body: { errors: failures.map(describeFailure) },
        headers: retryAfter === undefined
            ? {}
            : { "retry-after": Math.ceil(retryAfter / millisecondsPerSecond).toString() },
    };
}

function describeFailure(one: Failure | ResourceFailure) {
    const { code, message, path, retryAfter } = one;
    const resource = "resource" in one ? one.resource : undefined;
    return { code: code.number, name: code.name, execution: code.execution, message, resource, path, retryAfter };
}
