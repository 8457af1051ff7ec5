import { ManualClock } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { type Engine } from "../configuration/Configuration.js";
import { type Mechanism } from "../Mechanisms.js";
import { noRests, testTarget } from "../testing/fixtures.js";
import { timedTestEngine } from "../testing/timedFixtures.js";
import { playUnequalSite, unequalDirectory } from "../testing/UnequalSite.js";
import { ChainRouter } from "./ChainRouter.js";
import { TargetPaces } from "./TargetPaces.js";
import { TargetSuspicions } from "./TargetSuspicions.js";

const none: ReadonlySet<string> = new Set();
const countsRequests = (mechanism: Mechanism) => mechanism !== "timed-choice";
const untimedEngine: Engine = { ...timedTestEngine, prefillRate: undefined };

interface RouterOptions {
    readonly dataCentre: string;
    /** Requests of peers by data centre. */
    readonly loads?: Readonly<Record<string, number>>;
    readonly isOn?: (mechanism: Mechanism) => boolean;
    readonly maxEventInterval?: number;
}

/** A router of a site with a fast chain in "x", a mixed one in "y" and a slow one in "z". */
function createRouter({ dataCentre, loads = {}, isOn, maxEventInterval = 250 }: RouterOptions) {
    const clock = new ManualClock();
    const directory = unequalDirectory(clock);
    const paces = new TargetPaces(clock);
    const router = new ChainRouter({
        clock,
        service: "model",
        dataCentre,
        directory,
        suspicions: new TargetSuspicions(clock),
        paces,
        rests: noRests,
        peerLoad: headId => loads[directory.get(headId)?.dataCentre ?? ""] ?? 0,
        maxEventInterval: () => maxEventInterval,
        isOn,
    });
    const choose = (prompt?: number, engine = timedTestEngine) => router.choose(engine, none, prompt)?.chain.dataCentre;
    const find = (name: string) => {
        const load = router.current(timedTestEngine).find(({ chain }) => chain.dataCentre === name);
        assert.ok(load !== undefined);
        return load;
    };
    return { clock, directory, paces, router, choose, find };
}

// Guards against a long prompt that is sent to a slow chain.
test("a long prompt goes to a fast chain in another data centre, a short one stays", () => {
    const loads = { x: 60 };
    const { choose } = createRouter({ dataCentre: "z", loads });
    assert.equal(choose(8_000), "x");
    assert.equal(choose(100), "z");
    assert.equal(createRouter({ dataCentre: "z", loads, isOn: countsRequests }).choose(8_000), "z");
});

// Guards against a slow chain that takes what the fast one would serve sooner.
test("a request leaves a slow chain that is half empty, but not for less than the way costs", () => {
    const loads = { x: 67, y: 67, z: 90 };
    assert.equal(createRouter({ dataCentre: "z", loads, isOn: countsRequests }).choose(), "x");
    const half = { x: 67, y: 67, z: 67 };
    assert.equal(createRouter({ dataCentre: "z", loads: half, isOn: countsRequests }).choose(), "z");
    assert.equal(createRouter({ dataCentre: "z", loads: half }).choose(), "x");
    assert.equal(createRouter({ dataCentre: "y", loads: half }).choose(), "y");
});

// Guards against new requests that wait at a fast chain while another one has slots.
test("a full chain is left for a slower one with room", () => {
    assert.equal(createRouter({ dataCentre: "x", loads: { x: 133 } }).choose(), "x");
    assert.equal(createRouter({ dataCentre: "x", loads: { x: 150 } }).choose(), "y");
});

// Guards against further chains that slow down the targets they share with a first chain that is not loaded.
test("a further chain gets requests only when the first chain of its data centre is loaded", () => {
    const { clock, directory, router } = createRouter({ dataCentre: "x", loads: {} });
    [[0, 27], [27, 54], [54, 80]].forEach(([first = 0, end = 0], index) =>
        directory.put(testTarget(`t${index + 50}`, "a100", { first, end }, "x"))
    );
    clock.advance(1_000);
    const chains = router.current(timedTestEngine).filter(({ chain }) => chain.dataCentre === "x");
    const [first, further] = chains;
    assert.ok(first !== undefined && further !== undefined);
    first.inFlight = Math.floor(0.5 * first.chain.room);
    assert.equal(router.choose(timedTestEngine, none), first);
    first.inFlight = Math.ceil(0.7 * first.chain.room);
    assert.equal(router.choose(timedTestEngine, none), further);
    assert.notEqual(router.choose(timedTestEngine, new Set([first.chain.key])), first);
});

// Guards against all streams of a lost chain that are resumed on the fastest one, one prompt after the other.
test("streams that are resumed at the same time by many gateways are spread by the time of their prompts", () => {
    const { router } = createRouter({ dataCentre: "x", loads: { x: 20, y: 20, z: 20 } });
    const counts = new Map<string, number>();
    for (let stream = 0; stream < 6; stream++) {
        const load = router.chooseToResume(timedTestEngine, none);
        assert.ok(load !== undefined);
        load.inFlight++;
        counts.set(load.chain.dataCentre, (counts.get(load.chain.dataCentre) ?? 0) + 1);
    }
    assert.ok((counts.get("x") ?? 0) >= 2 && (counts.get("y") ?? 0) >= 2, JSON.stringify([...counts]));
});

// Guards against admission of streams whose events would be late.
test("the room of a chain ends where its interval exceeds 0.8 of the smallest limit, also after a correction", () => {
    const { router, find } = createRouter({ dataCentre: "x", maxEventInterval: 150 });
    assert.equal(router.roomOf(find("x").chain), find("x").chain.room);
    const { chain } = find("z");
    assert.ok(router.roomOf(chain) > 60 && router.roomOf(chain) < 100);
    for (let i = 0; i < 100; i++) {
        router.timed.noteFirstEvent(find("z"), 300, 100);
    }
    assert.ok(router.roomOf(chain) > 60);
    const slow = createRouter({ dataCentre: "x", maxEventInterval: 50 });
    assert.equal(slow.router.roomOf(slow.find("z").chain), 12);
});

// Guards against a chain that has become slow and still gets its former part of the requests.
test("a chain whose measured intervals exceed the predicted ones has less room, until the correction has decayed", () => {
    const { clock, router, find } = createRouter({ dataCentre: "x" });
    const load = find("z");
    load.eventInterval = 250;
    for (let i = 0; i < 50; i++) {
        clock.advance(100);
        router.timed.noteInterval(timedTestEngine, load);
    }
    assert.ok(router.roomOf(load.chain) < 50);
    clock.advance(180_000);
    assert.equal(router.roomOf(load.chain), load.chain.room);
});

// Guards against predictions that ignore what a target reports of its own pace.
test("a chain with a slow target is left when another is sooner by more than the way costs", () => {
    const { paces, choose } = createRouter({ dataCentre: "x" });
    paces.observe("t2", 3);
    assert.equal(choose(), "x");
    paces.observe("t2", 20);
    assert.equal(choose(), "y");
});

// Guards against a wave of one data centre that overloads its chain while those of others are free.
test("a wave of the data centre with the slowest chain is carried by the others", () => {
    const demand = { x: 0.15, y: 0.15, z: 0.7 };
    for (const seed of [1, 2]) {
        const { inTime, refused } = playUnequalSite({ seed, rate: 90, demand, duration: 22_000 });
        assert.ok(inTime >= 0.98, `in time: ${inTime}`);
        assert.equal(refused, 0);
    }
});

// Guards against a chain that is slower than any prediction and keeps its part of the requests.
test("a chain that is twice as slow as predicted gets fewer requests after its first streams", () => {
    const { inTime } = playUnequalSite({ seed: 1, rate: 90, hiddenFactors: { z: 2 }, duration: 22_000 });
    assert.ok(inTime >= 0.97, `in time: ${inTime}`);
});

// Guards against 43 gateways that all turn to the chain that was free 0.9 s ago.
test("the loads of unequal chains do not oscillate near the capacity, unlike those of counted requests", () => {
    for (const seed of [1, 2]) {
        const timed = playUnequalSite({ seed, rate: 105, duration: 22_000 });
        const counted = playUnequalSite({ seed, rate: 105, duration: 22_000, isOn: countsRequests });
        assert.ok(timed.swing < 8 && timed.swing < counted.swing / 2, `swing ${timed.swing}, ${counted.swing}`);
        assert.ok(timed.inTime >= 0.97, `in time: ${timed.inTime}`);
    }
});

// Guards against other deployments that are routed by predictions from a part of the times.
test("without an engine's times chains are chosen as by counting", () => {
    const options = { seed: 3, rate: 80, duration: 12_000, engine: untimedEngine };
    assert.deepEqual(playUnequalSite(options), playUnequalSite({ ...options, isOn: countsRequests }));
    const { router, find } = createRouter({ dataCentre: "x", maxEventInterval: 50 });
    const { chain } = find("z");
    assert.equal(router.roomOf(chain), 12);
    router.current(untimedEngine);
    assert.equal(router.roomOf(chain), chain.room);
    assert.equal(router.choose(untimedEngine, none)?.chain.dataCentre, "x");
    assert.equal(router.timed.expectFirstEvent(untimedEngine, find("x")), undefined);
});
