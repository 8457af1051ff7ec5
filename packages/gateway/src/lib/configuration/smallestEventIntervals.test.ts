import assert from "node:assert/strict";
import { test } from "node:test";
import { type Route } from "./Configuration.js";
import { smallestEventIntervals } from "./smallestEventIntervals.js";

function route(maxEventInterval: number | undefined, ...services: string[]): Route {
    return {
        name: "r",
        hostname: "h",
        pathPrefix: "/",
        kind: "stream",
        timeout: 20_000,
        latencyTarget: 500,
        maxAttempts: 2,
        priority: 0,
        isPublic: false,
        isResumable: true,
        shares: services.map(service => ({ service, weight: 1 })),
        maxEventInterval,
    };
}

// Guards against chains that are loaded by the limit of a lenient route and are late for a strict one.
test("the strictest route of a service counts, and routes without a limit do not", () => {
    const routes = [route(300, "a", "b"), route(250, "b"), route(undefined, "a", "c")];
    assert.deepEqual([...smallestEventIntervals(routes)], [["a", 300], ["b", 250]]);
});
