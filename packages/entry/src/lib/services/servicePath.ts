import { type ServiceSpec } from "@waxwingspar/config";

const prefix = "/services/";
const base = "http://service";
const encodedUnreserved = /%(2[dDeE]|3[0-9]|[46][1-9a-fA-F]|[57][0-9aA]|5[fF]|7[eE])/g;
const encodedSlash = /%(2[fF]|5[cC])/;

/**
 * A call's service, and its path and query below the service's root.
 *
 * @internal
 */
export interface ServicePath {
    readonly service: string;
    /** The normalised path, so that rules are matched against the same path that the service receives. */
    readonly path: string;
    readonly query: string;
}

/**
 * Splits the target of a call, such as `/services/records/work-orders?day=1`.
 *
 * @returns Undefined if the target names no service or contains sequences that services interpret in different ways.
 * @internal
 */
export function parseServicePath(target: string): ServicePath | undefined {
    if (!target.startsWith(prefix)) {
        return undefined;
    }
    const [wholePath = "", ...queries] = target.slice(prefix.length).split("?");
    const slash = wholePath.indexOf("/");
    const service = slash < 0 ? wholePath : wholePath.slice(0, slash);
    const path = canonicalPath(slash < 0 ? "/" : wholePath.slice(slash));
    if (service === "" || path === undefined) {
        return undefined;
    }
    return { service, path, query: queries.length === 0 ? "" : `?${queries.join("?")}` };
}

/**
 * Decodes unneeded percent-encoding, merges slashes and resolves dot segments. Rejects backslashes and encoded slashes.
 */
function canonicalPath(path: string): string | undefined {
    if (path.includes("\\") || path.includes("#") || encodedSlash.test(path)) {
        return undefined;
    }
    const decoded = path.replace(encodedUnreserved, sign => decodeURIComponent(sign)).replace(/\/{2,}/g, "/");
    return URL.parse(base + decoded)?.pathname;
}

/**
 * Whether a service declares that a call may not be repeated.
 *
 * @internal
 */
export function isNonIdempotent(spec: ServiceSpec, method: string, path: string): boolean {
    const plain = withoutEndSlash(path);
    return spec.nonIdempotent.some(rule =>
        (rule.method === "*" || rule.method.toUpperCase() === method) && matches(rule.path, plain)
    );
}

function matches(pattern: string, path: string): boolean {
    const star = pattern.indexOf("*");
    return star < 0 ? withoutEndSlash(pattern) === path : path.startsWith(withoutEndSlash(pattern.slice(0, star)));
}

function withoutEndSlash(path: string): string {
    return path.length > 1 && path.endsWith("/") ? path.slice(0, -1) : path;
}
