import { ManualClock } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { TargetDirectory } from "../directory/TargetDirectory.js";
import { noRests, testEngine, testTarget } from "../testing/fixtures.js";
import { type ChainLoad, ChainRouter } from "./ChainRouter.js";
import { TargetPaces } from "./TargetPaces.js";
import { TargetSuspicions } from "./TargetSuspicions.js";

const none: ReadonlySet<string> = new Set();

function createRouter() {
    const clock = new ManualClock();
    const directory = new TargetDirectory({ clock });
    const suspicions = new TargetSuspicions(clock);
    const paces = new TargetPaces(clock);
    for (const dataCentre of ["x", "y"]) {
        const offset = dataCentre === "x" ? 1 : 3;
        directory.put(testTarget(`t${offset}`, "large", { first: 0, end: 40 }, dataCentre));
        directory.put(testTarget(`t${offset + 1}`, "large", { first: 40, end: 80 }, dataCentre));
    }
    const peerLoads = new Map<string, number>();
    const router = new ChainRouter({
        clock,
        service: "model",
        dataCentre: "x",
        directory,
        suspicions,
        paces,
        rests: noRests,
        peerLoad: headId => peerLoads.get(headId) ?? 0,
    });
    const hops = () => router.choose(testEngine, none)?.chain.hops.map(({ targetId }) => targetId);
    return { directory, suspicions, paces, peerLoads, router, hops };
}

test("the chain of the own data centre is preferred", () => {
    const { hops } = createRouter();
    assert.deepEqual(hops(), ["t1", "t2"]);
});

test("a complete chain in another data centre is preferred to a chain between data centres", () => {
    const { suspicions, hops } = createRouter();
    suspicions.suspect("t2", "lost", 1_000);
    assert.deepEqual(hops(), ["t3", "t4"]);
});

test("when no data centre has a complete chain, a chain between data centres is used", () => {
    const { suspicions, router, hops } = createRouter();
    suspicions.suspect("t1", "lost", 1_000);
    suspicions.suspect("t4", "lost", 1_000);
    assert.deepEqual(hops(), ["t3", "t2"]);
    assert.equal(router.current(testEngine)[0]?.chain.crossings, 1);
});

test("there is no chain when no target holds a range", () => {
    const { suspicions, hops } = createRouter();
    suspicions.suspect("t2", "lost", 1_000);
    suspicions.suspect("t4", "lost", 1_000);
    assert.equal(hops(), undefined);
});

test("a remote chain with room is preferred to a full local chain", () => {
    const { peerLoads, router, hops } = createRouter();
    const room = router.current(testEngine)[0]?.chain.room ?? 0;
    assert.ok(room >= 1 && room < testEngine.slots);
    peerLoads.set("t1", Math.ceil(room) + 2);
    peerLoads.set("t3", Math.floor(room) - 1);
    assert.deepEqual(hops(), ["t3", "t4"]);
});

test("when the complete chain is full, a chain between data centres over other targets is used", () => {
    const { directory, peerLoads, suspicions, router, hops } = createRouter();
    directory.put(testTarget("t5", "large", { first: 0, end: 40 }, "z"));
    suspicions.suspect("t2", "lost", 1_000);
    directory.put(testTarget("t6", "large", { first: 40, end: 80 }, "w"));
    const room = router.current(testEngine)[0]?.chain.room ?? 0;
    assert.deepEqual(hops(), ["t3", "t4"]);
    peerLoads.set("t3", Math.ceil(room) + 20);
    assert.deepEqual(hops(), ["t1", "t6"]);
});

test("a chain with a slow target is avoided until a healthy remote chain carries more requests", () => {
    const { paces, peerLoads, hops } = createRouter();
    paces.observe("t2", 3);
    assert.deepEqual(hops(), ["t3", "t4"]);
    peerLoads.set("t3", 70);
    assert.deepEqual(hops(), ["t1", "t2"]);
});

test("a standby replaces a slow target", () => {
    const { directory, paces, hops } = createRouter();
    directory.put(testTarget("t9", "large", { first: 40, end: 80 }));
    paces.observe("t2", 3);
    assert.deepEqual(hops(), ["t1", "t9"]);
});

/** Resumes the streams of a lost chain at the same time. @returns The number of streams by data centre. */
function resumeStreams(count: number, choose: (router: ChainRouter) => ChainLoad | undefined): Map<string, number> {
    const { router } = createRouter();
    const spread = new Map<string, number>();
    for (let stream = 0; stream < count; stream++) {
        const load = choose(router);
        assert.ok(load !== undefined);
        load.inFlight++;
        spread.set(load.chain.dataCentre, (spread.get(load.chain.dataCentre) ?? 0) + 1);
    }
    return spread;
}

test("streams that are resumed at the same time are spread over all chains, unlike new requests", () => {
    const resumed = resumeStreams(4, router => router.chooseToResume(testEngine, none));
    assert.deepEqual([...resumed.values()], [2, 2]);
    const asNewRequests = resumeStreams(4, router => router.chooseHealthy(testEngine, none));
    assert.deepEqual([...asNewRequests.entries()], [["x", 4]]);
});
