import { ManualClock } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { TargetDirectory } from "../directory/TargetDirectory.js";
import { noRests, testEngine, testTarget } from "../testing/fixtures.js";
import { type Chain } from "./Chain.js";
import { type ChainLoad, ChainRouter, type ChainRouterOptions } from "./ChainRouter.js";
import { LearnedRooms } from "./LearnedRooms.js";
import { TargetPaces } from "./TargetPaces.js";
import { TargetSuspicions } from "./TargetSuspicions.js";

const none: ReadonlySet<string> = new Set();

/** Creates a router for a data centre x with two chains of large targets, and a data centre y with one. */
function createRouter(options: Partial<ChainRouterOptions> = {}) {
    const clock = new ManualClock();
    const directory = new TargetDirectory({ clock });
    const suspicions = new TargetSuspicions(clock);
    const rooms = new LearnedRooms(clock);
    const ranges = [{ first: 0, end: 25 }, { first: 25, end: 50 }, { first: 50, end: 75 }, { first: 75, end: 80 }];
    ["x", "x", "y"].forEach((dataCentre, chain) =>
        ranges.forEach((range, hop) => directory.put(testTarget(`t${chain * 4 + hop + 1}`, "large", range, dataCentre)))
    );
    const built: [string, string | undefined][] = [];
    const further: (readonly Chain[])[] = [];
    const router = new ChainRouter({
        clock,
        service: "model",
        dataCentre: "x",
        directory,
        suspicions,
        paces: new TargetPaces(clock),
        rests: noRests,
        peerLoad: () => 0,
        rooms,
        onChange: (dataCentre, chain) => built.push([dataCentre, chain?.key]),
        onFurtherChange: (_dataCentre, chains) => further.push(chains),
        ...options,
    });
    const chooseHead = () => router.choose(testEngine, none)?.chain.hops[0]?.targetId;
    const byHead = (id: string) => {
        const load = router.current(testEngine).find(({ chain }) => chain.hops[0]?.targetId === id);
        assert.ok(load !== undefined);
        return load;
    };
    return { clock, directory, suspicions, rooms, built, further, router, chooseHead, byHead };
}

function headsOf(loads: readonly ChainLoad[]): string[] {
    return loads.map(({ chain }) => chain.hops[0]?.targetId ?? "");
}

test("further chains get requests only when the first chain of their data centre is loaded", () => {
    const { router, chooseHead, byHead } = createRouter();
    assert.deepEqual(headsOf(router.current(testEngine)), ["t1", "t5", "t9"]);
    const first = byHead("t1");
    const chosen = new Map<string, number[]>();
    for (let sent = 0; sent < 200; sent++) {
        const load = router.choose(testEngine, none);
        assert.ok(load !== undefined);
        const head = load.chain.hops[0]?.targetId ?? "";
        chosen.set(head, [...chosen.get(head) ?? [], first.inFlight]);
        load.inFlight++;
    }
    assert.ok((chosen.get("t5")?.length ?? 0) > 20);
    assert.ok(chosen.get("t5")?.every(load => load > 0.6 * first.chain.room));
    first.inFlight = Math.floor(0.5 * first.chain.room);
    assert.notEqual(chooseHead(), "t5");
});

test("without several-chains, a data centre has one chain", () => {
    const { router } = createRouter({ isOn: mechanism => mechanism !== "several-chains" });
    assert.deepEqual(headsOf(router.current(testEngine)), ["t1", "t9"]);
});

test("a request goes to another data centre before it goes to a further chain that shares a failed target", () => {
    const { directory, router, byHead } = createRouter();
    ["t2", "t3", "t4", "t6", "t7", "t8"].forEach(id => directory.remove(id, 0));
    [25, 35, 45, 55, 65, 75].forEach((first, index) =>
        directory.put(testTarget(`t${index + 20}`, "large", { first, end: Math.min(80, first + 10) }))
    );
    assert.deepEqual(headsOf(router.current(testEngine)), ["t1", "t5", "t9"]);
    const first = byHead("t1");
    first.inFlight = Math.ceil(first.chain.room * 0.9);
    byHead("t9").inFlight = 30;
    assert.equal(router.choose(testEngine, none), byHead("t5"));
    assert.equal(router.choose(testEngine, new Set([first.chain.key])), byHead("t9"));
});

/** Guards against streams that are counted on one of several chains of a target only, and reported too low to peers. */
test("requests of a replaced chain and of its successor with the same head are reported as one sum", () => {
    const { suspicions, router, byHead } = createRouter();
    byHead("t1").inFlight = 3;
    const before = byHead("t1");
    suspicions.suspect("t2", "lost", 1_000);
    const after = byHead("t1");
    assert.notEqual(after, before);
    after.inFlight = 4;
    assert.deepEqual(Object.fromEntries(router.headLoads()), { t1: 7 });
});

test("loads and learned rooms change no chain", () => {
    const { clock, rooms, built, further, router } = createRouter();
    const before = router.current(testEngine);
    for (let round = 0; round < 100; round++) {
        before.forEach((load, index) => load.inFlight = (round * (index + 3) * 17) % 140);
        rooms.noteFull(`t${1 + round % 12}`);
        clock.advance(50);
        assert.deepEqual(router.current(testEngine), before);
    }
    assert.deepEqual(built.map(([dataCentre]) => dataCentre), ["x", "y"]);
    assert.equal(further.length, 1);
});

test("a chain whose targets stay keeps its load when the set of chains changes, and returns to it", () => {
    const { clock, directory, suspicions, further, router, byHead } = createRouter();
    const second = byHead("t5");
    directory.put(testTarget("t20", "large", { first: 0, end: 25 }));
    directory.put(testTarget("t22", "large", { first: 25, end: 50 }));
    assert.equal(byHead("t5"), second);
    suspicions.suspect("t10", "busy", 300);
    assert.equal(byHead("t5"), second);
    suspicions.suspect("t2", "busy", 300);
    router.current(testEngine);
    const duringSuspicion = further.length;
    clock.advance(400);
    router.current(testEngine);
    assert.ok(further.length <= duringSuspicion + 1);
    const stable = router.current(testEngine);
    for (let round = 0; round < 10; round++) {
        suspicions.suspect("t11", "busy", 100);
        router.current(testEngine);
        clock.advance(150);
        assert.deepEqual(
            router.current(testEngine).filter(({ chain }) => chain.dataCentre === "x"),
            stable.slice(0, -1),
        );
    }
});

test("the loss of a target that the chains of a data centre share ends them at the same time", () => {
    const { directory, suspicions, built, router } = createRouter();
    ["t2", "t6"].forEach(id => directory.remove(id, 0));
    directory.put(testTarget("t20", "large", { first: 25, end: 37 }));
    directory.put(testTarget("t21", "large", { first: 37, end: 50 }));
    assert.deepEqual(headsOf(router.current(testEngine)), ["t1", "t5", "t9"]);
    suspicions.suspect("t20", "lost", 1_000);
    assert.deepEqual(headsOf(router.current(testEngine)), ["t9"]);
    assert.deepEqual(built.at(-1), ["x", undefined]);
});

test("targets of further chains are not used by chains between data centres", () => {
    const { directory, suspicions, router } = createRouter();
    directory.put(testTarget("t30", "large", { first: 0, end: 25 }, "z"));
    suspicions.suspect("t11", "lost", 1_000);
    const mixed = router.current(testEngine).filter(({ chain }) => chain.crossings > 0);
    const used = new Set(
        router.current(testEngine).filter(({ chain }) => chain.crossings === 0)
            .flatMap(({ chain }) => chain.hops.map(({ targetId }) => targetId)),
    );
    assert.ok(mixed.every(({ chain }) => chain.hops.every(({ targetId }) => !used.has(targetId))));
    assert.deepEqual(headsOf(router.current(testEngine)).slice(0, 2), ["t1", "t5"]);
});
