import { type LoadReport } from "@waxwingspar/transport";
import { ManualClock, requestCodes, seededRandom } from "@waxwingspar/utils";
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createRouter } from "./createRouter.js";
import { type RoutedAttempt, type Router, type RouteRequest, type RoutingTarget } from "./Router.js";
import { type RouterOptions } from "./RouterOptions.js";

function target(name: string, first: number, last: number, more: Partial<RoutingTarget> = {}): RoutingTarget {
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
        holds: [{ model: "assistant", version: "v1", first, last }],
        ...more,
    };
}

const request: RouteRequest = {
    model: "assistant",
    version: "v1",
    layers: 8,
    activationBytes: 1000,
    prefix: [],
    exclude: new Set(),
};

function setUp(targets: readonly RoutingTarget[], options: Partial<RouterOptions> = {}) {
    const clock = new ManualClock();
    const random = seededRandom(1);
    const place = { entry: "entry-1", dataCentre: "dc-1", region: "region-1" };
    const router = createRouter({ clock, random, ...place, slowStart: 0, ...options });
    router.update(targets);
    return { clock, router };
}

function choose(router: Router, more: Partial<RouteRequest> = {}): RoutedAttempt {
    const chosen = router.choose({ ...request, ...more });
    assert.ok(chosen.isOk, "a chain was expected");
    return chosen.value;
}

function headOf(attempt: RoutedAttempt): string {
    return attempt.stages[0]!.target;
}

/** Runs requests one at a time, each with the latency of its head. Returns the number of requests by head. */
function traffic(router: Router, clock: ManualClock, count: number, intervalOf: (head: string) => number) {
    const heads = new Map<string, number>();
    for (let index = 0; index < count; index++) {
        const attempt = choose(router);
        const head = headOf(attempt);
        heads.set(head, (heads.get(head) ?? 0) + 1);
        const interval = intervalOf(head);
        attempt.firstToken(interval);
        for (let token = 0; token < 16; token++) {
            attempt.token(interval);
        }
        attempt.end("completed");
        clock.advance(20);
    }
    return heads;
}

function report(name: string, running: number, more: Partial<LoadReport> = {}): LoadReport {
    return {
        target: name,
        running,
        queued: 0,
        slots: 16,
        tokenInterval: 30,
        firstTokenEstimate: 50,
        leaving: false,
        ...more,
    };
}

const whole = (count: number, more: Partial<RoutingTarget> = {}) =>
    Array.from({ length: count }, (_, index) => target(`target-${index}`, 0, 7, more));

test("a chain covers every layer once, in order, and without excluded or unavailable targets", () => {
    const range = fc.tuple(fc.integer({ min: 0, max: 7 }), fc.integer({ min: 0, max: 7 }))
        .map(([a, b]) => ({ first: Math.min(a, b), last: Math.max(a, b) }));
    const holder = fc.record({
        ranges: fc.array(range, { minLength: 1, maxLength: 2 }),
        restriction: fc.integer({ min: 0, max: 5 }),
    });
    fc.assert(fc.property(fc.array(holder, { minLength: 1, maxLength: 14 }), holders => {
        const targets = holders.map(({ ranges }, index) =>
            target(`target-${index}`, 0, 0, {
                holds: ranges.map(held => ({ model: "assistant", version: "v1", ...held })),
            })
        );
        const { router } = setUp(targets);
        const exclude = new Set<string>();
        holders.forEach(({ restriction }, index) => {
            const name = `target-${index}`;
            if (restriction === 0) {
                exclude.add(name);
            }
            else if (restriction === 1) {
                router.setLeaving(name, true);
            }
            else if (restriction === 2) {
                router.unreachable(name);
            }
        });
        const allowed = targets.filter((_, index) => holders[index]!.restriction > 2);
        const chosen = router.choose({ ...request, exclude });
        if (chosen.isErr) {
            assert.equal(chosen.error.code, requestCodes.noCapacity);
            assert.ok(!isCoverable(allowed, 0, new Set()), "a chain exists");
            return;
        }
        let next = 0;
        for (const stage of chosen.value.stages) {
            assert.equal(stage.first, next);
            const held = allowed.find(({ name }) => name === stage.target)?.holds;
            assert.ok(held?.some(({ first, last }) => first === stage.first && last === stage.last));
            next = stage.last + 1;
        }
        assert.equal(next, request.layers);
        assert.equal(new Set(chosen.value.stages.map(stage => stage.target)).size, chosen.value.stages.length);
    }));
});

// The cheapest chain up to the middle range used the only target of the last one, so no chain was found.
test("a target with two ranges is used for the one that no other target holds", () => {
    const held = (first: number, last: number) => ({ model: "assistant", version: "v1", first, last });
    const { router } = setUp([
        target("target-0", 0, 0, { holds: [held(3, 5)] }),
        target("target-4", 0, 0, { holds: [held(6, 7), held(0, 2)] }),
        target("target-7", 0, 0, { holds: [held(0, 2)] }),
    ]);
    const chains = Array.from({ length: 20 }, () => choose(router).stages.map(stage => stage.target));
    chains.forEach(chain => assert.deepEqual(chain, ["target-7", "target-0", "target-4"]));
});

/** Checks by exhaustive search whether a chain exists. */
function isCoverable(targets: readonly RoutingTarget[], layer: number, used: ReadonlySet<string>): boolean {
    return layer === request.layers || targets.some(({ name, holds }) =>
        !used.has(name)
        && holds.some(({ first, last }) => first === layer && isCoverable(targets, last + 1, new Set([...used, name])))
    );
}

test("targets of other models and versions are not used", () => {
    const other = [{ model: "assistant", version: "v2", first: 0, last: 7 }];
    const { router } = setUp([target("old", 0, 7), target("new", 0, 7, { holds: other })]);
    assert.equal(headOf(choose(router, { version: "v2" })), "new");
    assert.ok(router.choose({ ...request, model: "catalogue" }).isErr);
});

test("a request bound to a head uses that head or fails", () => {
    const { router } = setUp(whole(4));
    for (let index = 0; index < 10; index++) {
        assert.equal(headOf(choose(router, { head: "target-3" })), "target-3");
    }
    router.setLeaving("target-3", true);
    assert.ok(router.choose({ ...request, head: "target-3" }).isErr);
});

test("a leaving target gets no work, and a late report does not bring it back", () => {
    const { router } = setUp(whole(2));
    router.report(report("target-0", 0, { leaving: true }));
    router.report(report("target-0", 0));
    for (let index = 0; index < 10; index++) {
        assert.equal(headOf(choose(router)), "target-1");
    }
});

test("the delayed live list does not readmit a leaving target, but its restart does", () => {
    const { clock, router } = setUp(whole(2));
    router.report(report("target-0", 0, { leaving: true }));
    router.setLeaving("target-0", false);
    const heads = Array.from({ length: 10 }, () => headOf(choose(router)));
    assert.equal(heads.includes("target-0"), false);
    router.unreachable("target-0");
    clock.advance(2000);
    const probe = choose(router);
    assert.equal(headOf(probe), "target-0");
    probe.end("completed");
    const later = Array.from({ length: 30 }, () => headOf(choose(router)));
    assert.ok(later.includes("target-0"));
});

test("a stale report of an idle target does not attract a burst of requests", () => {
    const { router } = setUp(whole(10));
    for (let index = 0; index < 10; index++) {
        router.report(report(`target-${index}`, index === 0 ? 0 : 12));
    }
    const heads = Array.from({ length: 60 }, () => headOf(choose(router)));
    const onIdle = heads.filter(head => head === "target-0").length;
    assert.ok(onIdle > 6 && onIdle <= 16, `${onIdle} of 60 went to the idle target`);
});

test("work spills over to the region when the local data centre is full", () => {
    const far = Array.from({ length: 4 }, (_, index) => target(`far-${index}`, 0, 7, { dataCentre: "dc-2" }));
    const { router } = setUp([...whole(4), ...far], { dataCentreLatency: 30 });
    const heads = Array.from({ length: 80 }, () => headOf(choose(router)));
    const early = heads.slice(0, 8).filter(head => head.startsWith("far")).length;
    const all = heads.filter(head => head.startsWith("far")).length;
    assert.ok(early <= 1, `${early} of the first 8 went far`);
    assert.ok(all >= 20, `${all} of 80 went far`);
});

test("a slow target is ejected and comes back after a good probe", () => {
    const { clock, router } = setUp(whole(8));
    let slow = true;
    const intervalOf = (head: string) => slow && head === "target-0" ? 400 : 40;
    traffic(router, clock, 400, intervalOf);
    const during = traffic(router, clock, 500, intervalOf);
    assert.ok((during.get("target-0") ?? 0) <= 2, "only probes reach an ejected target");
    slow = false;
    clock.advance(30_000);
    const after = traffic(router, clock, 400, intervalOf);
    assert.ok((after.get("target-0") ?? 0) > 20, `${after.get("target-0")} after its readmission`);
});

test("failing targets are ejected only up to the cap", () => {
    const { clock, router } = setUp(whole(10), { maxEjected: 0.3, choices: 10 });
    const used = new Set<string>();
    for (let index = 0; index < 300; index++) {
        const attempt = choose(router);
        if (index >= 250) {
            used.add(headOf(attempt));
        }
        attempt.end("failed", headOf(attempt));
        clock.advance(1);
    }
    assert.equal(used.size, 7);
});

test("an unreachable target gets one probe at a time, at growing intervals", () => {
    const { clock, router } = setUp(whole(3));
    router.unreachable("target-0");
    const probes: number[] = [];
    for (let time = 0; time < 20_000; time += 10) {
        const attempt = choose(router);
        if (headOf(attempt) === "target-0") {
            probes.push(time);
            assert.notEqual(headOf(choose(router)), "target-0");
            router.unreachable("target-0");
            attempt.end("failed", "target-0");
        }
        else {
            attempt.end("completed");
        }
        clock.advance(10);
    }
    const gaps = probes.slice(1).map((time, index) => time - probes[index]!);
    assert.ok(probes.length >= 3 && probes.length <= 6, `${probes.length} probes`);
    gaps.slice(1).forEach((gap, index) => assert.ok(gap > gaps[index]!, `gaps ${gaps.join(" ")}`));
});

test("a probe that fails because of another stage does not block the next probe", () => {
    const heads = [target("head-0", 0, 3), target("head-1", 0, 3)];
    const tails = [target("tail-0", 4, 7), target("tail-1", 4, 7)];
    const { clock, router } = setUp([...heads, ...tails]);
    router.unreachable("head-0");
    clock.advance(2000);
    const probe = choose(router);
    assert.equal(headOf(probe), "head-0");
    probe.end("failed", probe.stages[1]!.target);
    assert.equal(headOf(choose(router)), "head-0");
});

test("a new target is ramped up slowly", () => {
    const { clock, router } = setUp(whole(4), { slowStart: 10_000, slowStartFloor: 0.1, choices: 5 });
    clock.advance(20_000);
    const running = Array.from({ length: 24 }, () => choose(router));
    router.update(whole(5));
    const early = Array.from({ length: 10 }, () => headOf(choose(router))).filter(head => head === "target-4").length;
    clock.advance(10_000);
    const late = Array.from({ length: 10 }, () => headOf(choose(router))).filter(head => head === "target-4").length;
    assert.equal(running.length, 24);
    assert.ok(early <= 1, `${early} of 10 immediately`);
    assert.ok(late >= 4, `${late} of 10 after the ramp`);
});

test("a lost data centre is given up after a few of its targets", () => {
    const near = whole(10, { dataCentre: "dc-1" });
    const far = Array.from({ length: 10 }, (_, index) => target(`far-${index}`, 0, 7, { dataCentre: "dc-2" }));
    const { clock, router } = setUp([...near, ...far]);
    let failures = 0;
    for (let index = 0; index < 100; index++) {
        const attempt = choose(router);
        if (headOf(attempt).startsWith("target")) {
            failures++;
            router.unreachable(headOf(attempt));
            attempt.end("failed", headOf(attempt));
        }
        clock.advance(5);
    }
    assert.ok(failures <= 4, `${failures} requests failed`);
});

test("a prompt is sent to the target with its cached prefix, unless that target is far busier", () => {
    const { router } = setUp(whole(10));
    const prefix = Array.from({ length: 40 }, (_, index) => `block-${index}`);
    router.cacheEvent("target-7", "stored", prefix);
    const heads = Array.from({ length: 60 }, () => headOf(choose(router, { prefix })));
    const sticky = heads.filter(head => head === "target-7").length;
    assert.deepEqual(heads.slice(0, 3), ["target-7", "target-7", "target-7"]);
    assert.ok(sticky < 30, `${sticky} of 60 on one target`);
});

test("evicted, cleared and lost caches do not attract requests", () => {
    const prefix = Array.from({ length: 40 }, (_, index) => `block-${index}`);
    const forget: ((router: Router) => void)[] = [
        router => router.cacheEvent("target-7", "evicted", prefix),
        router => router.cacheEvent("target-7", "cleared", []),
        router => router.unreachable("target-7"),
    ];
    for (const action of forget) {
        const { router } = setUp(whole(10));
        router.cacheEvent("target-7", "stored", prefix);
        action(router);
        const heads = Array.from({ length: 8 }, () => headOf(choose(router, { prefix })));
        assert.ok(heads.filter(head => head === "target-7").length <= 2, heads.join(" "));
    }
});

test("requests of a plain service are balanced over its targets", () => {
    const { router } = setUp(whole(3, { service: "records", holds: [] }));
    const heads = Array.from({ length: 30 }, () => {
        const chosen = router.chooseService("records", new Set(["target-0"]));
        assert.ok(chosen.isOk);
        return headOf(chosen.value);
    });
    assert.equal(heads.includes("target-0"), false);
    assert.ok(Math.abs(heads.filter(head => head === "target-1").length - 15) <= 1);
});

test("subsets of many entries cover the targets evenly", () => {
    const targets = whole(100);
    const uses = new Map<string, number>();
    for (let entry = 0; entry < 200; entry++) {
        const { router } = setUp(targets, { entry: `entry-${entry}`, subsetSize: 20, choices: 20 });
        const used = new Set(Array.from({ length: 40 }, () => headOf(choose(router))));
        assert.equal(used.size, 20);
        used.forEach(name => uses.set(name, (uses.get(name) ?? 0) + 1));
    }
    const counts = [...uses.values()];
    const mean = 200 * 20 / 100;
    const deviation = Math.sqrt(counts.reduce((sum, count) => sum + (count - mean) ** 2, 0) / counts.length);
    const binomial = Math.sqrt(mean * (1 - 20 / 100));
    assert.equal(counts.length, 100);
    assert.ok(deviation <= 1.25 * binomial, `deviation ${deviation}, by chance ${binomial}`);
});

test("chains avoid a slow link between data centres, but still use the targets behind it", () => {
    const place = (name: string, first: number, dataCentre: string) => target(name, first, first + 3, { dataCentre });
    const dataCentres = ["dc-1", "dc-2"];
    const targets = dataCentres.flatMap(dataCentre =>
        [0, 1, 2].flatMap(index => [
            place(`head-${index}-${dataCentre}`, 0, dataCentre),
            place(`tail-${index}-${dataCentre}`, 4, dataCentre),
        ])
    );
    const { clock, router } = setUp(targets, { choices: 6 });
    let crossed = 0;
    let behind = 0;
    for (let index = 0; index < 600; index++) {
        const attempt = choose(router);
        const [head, tail] = attempt.stages.map(stage => stage.target.slice(-4)) as [string, string];
        const interval = head === tail ? 40 : 120;
        attempt.firstToken(100);
        for (let token = 0; token < 16; token++) {
            attempt.token(interval);
        }
        clock.schedule(() => attempt.end("completed"), 500);
        clock.advance(20);
        crossed += index >= 300 && head !== tail ? 1 : 0;
        behind += index >= 300 && head === tail && tail === "dc-2" ? 1 : 0;
    }
    assert.ok(crossed <= 30, `${crossed} of 300 crossed the slow link`);
    assert.ok(behind >= 60, `${behind} of 300 ran behind it`);
});

test("requests are refused when all targets are far over the bound, except for a few trials", () => {
    const { clock, router } = setUp(whole(4));
    for (let index = 0; index < 4; index++) {
        router.report(report(`target-${index}`, 16, { firstTokenEstimate: 5000 }));
    }
    const outcomes = Array.from({ length: 100 }, () => router.choose(request));
    const refused = outcomes.filter(outcome => outcome.isErr);
    assert.ok(refused.length >= 80 && refused.length < 100, `${refused.length} of 100 refused`);
    assert.ok(refused.every(outcome => outcome.isErr && outcome.error.code === requestCodes.overloaded));
    clock.advance(5000);
    assert.ok(router.choose(request).isOk, "an outdated report no longer counts");
});
