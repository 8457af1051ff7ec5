import { type ReplyHeaders } from "@waxwingspar/transport";

/** Headers that concern one connection only (RFC 9110, section 7.6.1). */
const hopByHop = new Set([
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
]);

/** Headers of a request that the connection to the service sets itself. */
const ownHeaders = new Set(["host", "content-length", "expect"]);

/** Headers as an HTTP library gives them. @internal */
export type IncomingHeaders = Record<string, string | string[] | undefined>;

/** The headers of a call that are passed on to the service. @internal */
export function requestHeaders(headers: Record<string, string>): Record<string, string> {
    return endToEnd(headers, ownHeaders);
}

/** The headers of an answer that are passed back. Repeated ones stay apart, as a comma may be part of a value. @internal */
export function replyHeaders(headers: IncomingHeaders): ReplyHeaders {
    return endToEnd(headers, new Set());
}

function endToEnd<Value extends string | string[]>(
    headers: Record<string, Value | undefined>,
    omitted: ReadonlySet<string>,
): Record<string, Value> {
    const named = connectionOptions(headers);
    const kept: Record<string, Value> = {};
    for (const [name, value] of Object.entries(headers)) {
        const key = name.toLowerCase();
        if (value !== undefined && !hopByHop.has(key) && !omitted.has(key) && !named.has(key)) {
            kept[key] = value;
        }
    }
    return kept;
}

/** The headers that the `Connection` header names as its own. */
function connectionOptions(headers: IncomingHeaders): Set<string> {
    const connection = Object.entries(headers).find(([name]) => name.toLowerCase() === "connection")?.[1];
    const text = Array.isArray(connection) ? connection.join(",") : connection ?? "";
    return new Set(text.split(",").map(option => option.trim().toLowerCase()).filter(option => option !== ""));
}
