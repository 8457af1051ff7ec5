import { ManualClock, seededRandom } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createRouter } from "./createRouter.js";
import { type RoutedAttempt, type Router, type RouteRequest, type RoutingTarget } from "./Router.js";

const request: RouteRequest = {
    model: "assistant",
    version: "v1",
    layers: 8,
    activationBytes: 1_000,
    prefix: [],
    exclude: new Set(),
};

function createTarget(name: string): RoutingTarget {
    return {
        name,
        host: "127.0.0.1",
        port: 1,
        dataCentre: "dc-1",
        region: "region-1",
        speed: 1,
        bandwidth: 1e9,
        latency: 0.1,
        slots: 16,
        holds: [{ model: "assistant", version: "v1", first: 0, last: 7 }],
    };
}

function setUp(names: readonly string[]) {
    const clock = new ManualClock();
    const place = { entry: "entry-1", dataCentre: "dc-1", region: "region-1" };
    const router = createRouter({ clock, random: seededRandom(1), ...place, slowStart: 0 });
    router.update(names.map(createTarget));
    return { clock, router };
}

function choose(router: Router, exclude: readonly string[] = []): RoutedAttempt {
    const chosen = router.choose({ ...request, exclude: new Set(exclude) });
    assert.ok(chosen.isOk, "a chain was expected");
    return chosen.value;
}

/** Runs requests one after the other. @returns Their heads. */
function runRequests(router: Router): ReadonlySet<string | undefined> {
    const attempts = Array.from({ length: 40 }, () => {
        const attempt = choose(router);
        attempt.end("cancelled");
        return attempt;
    });
    return new Set(attempts.map(({ stages }) => stages[0]?.target));
}

test("a target that asks for rest gets no request until it ends, and the refusal names the time that is left", () => {
    const { clock, router } = setUp(["a", "b"]);
    choose(router, ["b"]).end("refused", "a", 4_000);
    choose(router, ["a"]).end("refused", "b", 9_000);
    const refused = router.choose(request);
    assert.equal(refused.isErr && refused.error.retryAfter, 4_000);
    clock.advance(4_000);
    assert.deepEqual(runRequests(router), new Set(["a"]));
    clock.advance(5_000);
    assert.deepEqual(runRequests(router), new Set(["a", "b"]));
});

test("a rest ends with the connection to its target, as on a restart", () => {
    const { clock, router } = setUp(["a"]);
    choose(router).end("refused", "a", 60_000);
    assert.ok(router.choose(request).isErr);
    router.unreachable("a");
    clock.advance(5_000);
    assert.ok(router.choose(request).isOk);
});
