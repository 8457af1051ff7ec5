import { type ReplyHeaders } from "@waxwingspar/transport";
import { type IncomingHttpHeaders } from "node:http";

/** Headers that are not forwarded, as they concern a single connection or only this system. */
const unforwardedHeaders: ReadonlySet<string> = new Set([
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
    "host",
    "content-length",
    "authorization",
    "traceparent",
    "x-http-method-override",
]);

/** The headers of a call that are forwarded to its service. @internal */
export function forwardedHeaders(headers: IncomingHttpHeaders): Record<string, string> {
    const named = connectionHeaders(headers.connection);
    const forwarded: Record<string, string> = {};
    for (const [name, value] of Object.entries(headers)) {
        if (value !== undefined && !unforwardedHeaders.has(name) && !named.has(name)) {
            forwarded[name] = Array.isArray(value) ? value.join(", ") : value;
        }
    }
    return forwarded;
}

/** The headers of a service's answer that are returned to the caller. @internal */
export function returnedHeaders(headers: Readonly<ReplyHeaders>): ReplyHeaders {
    const entries = Object.entries(headers).filter(([name]) => {
        const lower = name.toLowerCase();
        return lower === "content-length" || !unforwardedHeaders.has(lower);
    });
    return Object.fromEntries(entries);
}

/** Further headers that the caller's `Connection` header lists as concerning only its connection. */
function connectionHeaders(value: string | undefined): ReadonlySet<string> {
    return new Set((value ?? "").split(",").map(name => name.trim().toLowerCase()));
}
