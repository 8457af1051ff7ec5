import { type LoadReport } from "@waxwingspar/transport";
import { ManualClock, seededRandom } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createRouter } from "./createRouter.js";
import { type RoutedAttempt, type Router, type RoutingTarget } from "./Router.js";

function setUp(count: number) {
    const clock = new ManualClock();
    const place = { entry: "entry-1", dataCentre: "dc-1", region: "region-1" };
    const router = createRouter({ clock, random: seededRandom(1), ...place, slowStart: 0 });
    router.update(Array.from({ length: count }, (_, index): RoutingTarget => ({
        name: `target-${index}`,
        host: "127.0.0.1",
        port: 1,
        dataCentre: "dc-1",
        region: "region-1",
        speed: 1,
        bandwidth: 1e9,
        latency: 0.1,
        slots: 16,
        holds: [{ model: "assistant", version: "v1", first: 0, last: 7 }],
    })));
    return { clock, router };
}

function choose(router: Router, prefix: readonly string[]): RoutedAttempt {
    const identity = { model: "assistant", version: "v1", layers: 8, activationBytes: 1000 };
    const chosen = router.choose({ ...identity, prefix, exclude: new Set() });
    assert.ok(chosen.isOk, "a chain was expected");
    return chosen.value;
}

function headOf(attempt: RoutedAttempt): string {
    return attempt.stages[0]!.target;
}

const report: LoadReport = {
    target: "target-7",
    running: 0,
    queued: 0,
    slots: 16,
    tokenInterval: 40,
    firstTokenEstimate: 100,
    leaving: false,
};

test("a wrong cache estimate stops attracting requests once responses report misses", () => {
    const prefix = Array.from({ length: 40 }, (_, index) => `block-${index}`);
    /** Sends one request at a time to a fleet without caches. Returns the highest number of requests on one target. */
    const mostOnOne = (hasFeedback: boolean): number => {
        const { clock, router } = setUp(10);
        const heads = new Map<string, number>();
        for (let index = 0; index < 60; index++) {
            const attempt = choose(router, prefix);
            heads.set(headOf(attempt), (heads.get(headOf(attempt)) ?? 0) + 1);
            attempt.firstToken(200);
            if (hasFeedback) {
                attempt.cached?.(0);
            }
            attempt.end("completed");
            clock.advance(200);
        }
        return Math.max(...heads.values());
    };
    // With and without feedback.
    const [told, untold] = [mostOnOne(true), mostOnOne(false)];
    assert.ok(untold >= 30, `${untold} of 60 on one target without feedback`);
    assert.ok(told <= 15, `${told} of 60 on one target despite reported misses`);
});

test("a new cache generation in a load report ends prefix affinity", () => {
    const { router } = setUp(10);
    const prefix = Array.from({ length: 40 }, (_, index) => `block-${index}`);
    router.report({ ...report, cacheGeneration: 1 });
    router.cacheEvent("target-7", "stored", prefix);
    router.report({ ...report, cacheGeneration: 1 });
    assert.equal(headOf(choose(router, prefix)), "target-7");
    router.report({ ...report, cacheGeneration: 2 });
    const heads = Array.from({ length: 8 }, () => headOf(choose(router, prefix)));
    assert.ok(heads.filter(head => head === "target-7").length <= 2, heads.join(" "));
});

test("a miss mistaken for a hit does not change the learned speed of a target once it is reported", () => {
    /** Returns the share of 20 other requests that one of two targets gets after a wrong estimate of its cache. */
    const shareAfter = (hasFeedback: boolean): number => {
        const { router } = setUp(2);
        const prefix = Array.from({ length: 40 }, (_, index) => `block-${index}`);
        router.cacheEvent("target-0", "stored", prefix);
        const wrong = choose(router, prefix);
        assert.equal(headOf(wrong), "target-0");
        wrong.firstToken(160);
        if (hasFeedback) {
            wrong.cached?.(0);
        }
        wrong.end("completed");
        const fresh = Array.from({ length: 40 }, (_, index) => `fresh-${index}`);
        const heads = Array.from({ length: 20 }, () => headOf(choose(router, fresh)));
        return heads.filter(head => head === "target-0").length / heads.length;
    };
    // With and without feedback.
    const [told, untold] = [shareAfter(true), shareAfter(false)];
    assert.ok(untold < 0.4, `${untold} without feedback`);
    assert.ok(told >= 0.4, `${told} with feedback`);
});
