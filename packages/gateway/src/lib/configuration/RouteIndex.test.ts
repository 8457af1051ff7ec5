import { seededRandom } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { type Route } from "./Configuration.js";
import { RouteIndex } from "./RouteIndex.js";

function routeOf(name: string, hostname: string, pathPrefix: string): Route {
    return {
        name,
        hostname,
        pathPrefix,
        kind: "idempotent",
        timeout: 1,
        latencyTarget: 1,
        maxAttempts: 1,
        priority: 0,
        isPublic: true,
        isResumable: false,
        shares: [],
    };
}

/** The rule itself: the longest prefix of the host that begins the path; of equal ones the first. */
function findDirectly(routes: readonly Route[], hostname: string, path: string): Route | undefined {
    return routes
        .filter(route => route.hostname.toLowerCase() === hostname.toLowerCase() && path.startsWith(route.pathPrefix))
        .reduce<Route | undefined>(
            (best, route) => best === undefined || route.pathPrefix.length > best.pathPrefix.length ? route : best,
            undefined,
        );
}

test("random routes: the index finds the same route as the rule", () => {
    const random = seededRandom(7);
    const pick = (items: readonly string[]) => items[Math.floor(random.next() * items.length)] ?? "";
    const hosts = ["a.example", "A.example", "b.example"];
    const parts = ["/", "/a/", "/a/b/", "/a/bb/", "/b/", "/b/a/", "/aa/", ""];
    for (let round = 0; round < 200; round++) {
        const routes = Array.from({ length: 12 }, (_, i) => routeOf(`r${i}`, pick(hosts), pick(parts)));
        const index = new RouteIndex(routes);
        for (const path of ["/a/b/c", "/a/bb", "/b/a/x", "/aa/", "/", "", "/x", "/a/bb/b"]) {
            hosts.forEach(host => assert.equal(index.find(host, path), findDirectly(routes, host, path)));
        }
    }
});
