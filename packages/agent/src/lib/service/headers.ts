import { type ReplyHeaders } from "@waxwingspar/transport";

/** Headers that apply to a single connection (RFC 9110, section 7.6.1). */
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

/** Request headers that the HTTP client of the service connection sets itself. */
const ownHeaders = new Set(["host", "content-length", "expect"]);

/** Headers as returned by an HTTP library. @internal */
export type IncomingHeaders = Record<string, string | string[] | undefined>;

/** Returns the headers of a call that are forwarded to the service. @internal */
export function requestHeaders(headers: Record<string, string>): Record<string, string> {
    return endToEnd(headers, ownHeaders);
}

/** Returns the headers of an answer to forward. Repeated ones stay separate, as values may contain commas. @internal */
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

/** Returns the lower-case header names that the `Connection` header lists as connection-specific. */
function connectionOptions(headers: IncomingHeaders): Set<string> {
    const connection = Object.entries(headers).find(([name]) => name.toLowerCase() === "connection")?.[1];
    const text = Array.isArray(connection) ? connection.join(",") : connection ?? "";
    return new Set(text.split(",").map(option => option.trim().toLowerCase()).filter(option => option !== ""));
}
