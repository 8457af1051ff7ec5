import { type Route } from "./Configuration.js";

/** The routes of one host. */
interface HostRoutes {
    readonly byPrefix: Map<string, Route>;
    /** The distinct lengths of the prefixes, the longest first. */
    lengths: number[];
}

/** Finds routes in a time that does not depend on their number, and is built in a time that grows linearly with it. */
export class RouteIndex {
    private readonly hosts = new Map<string, HostRoutes>();

    constructor(routes: readonly Route[]) {
        for (const route of routes) {
            const { byPrefix } = this.hostRoutes(route.hostname);
            if (!byPrefix.has(route.pathPrefix)) {
                byPrefix.set(route.pathPrefix, route);
            }
        }
        for (const host of this.hosts.values()) {
            const lengths = new Set([...host.byPrefix.keys()].map(({ length }) => length));
            host.lengths = [...lengths].sort((a, b) => b - a);
        }
    }

    /** @returns The route of the host with the longest matching path prefix; of equal ones the first. */
    find(hostname: string, path: string): Route | undefined {
        const host = this.hosts.get(hostname.toLowerCase());
        if (host === undefined) {
            return undefined;
        }
        for (const length of host.lengths) {
            const route = length > path.length ? undefined : host.byPrefix.get(path.slice(0, length));
            if (route !== undefined) {
                return route;
            }
        }
        return undefined;
    }

    private hostRoutes(hostname: string): HostRoutes {
        const name = hostname.toLowerCase();
        let host = this.hosts.get(name);
        if (host === undefined) {
            host = { byPrefix: new Map(), lengths: [] };
            this.hosts.set(name, host);
        }
        return host;
    }
}
