import { ManualClock, type Random, seededRandom } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { TargetDirectory } from "../directory/TargetDirectory.js";
import { type MechanismSwitch } from "../Mechanisms.js";
import { noRests, testEngine, testTarget } from "../testing/fixtures.js";
import { ChainRouter } from "./ChainRouter.js";
import { CrossingAllowance, crossingTime } from "./CrossingAllowance.js";
import { TargetPaces } from "./TargetPaces.js";
import { TargetSuspicions } from "./TargetSuspicions.js";

/** An average request occupies the link for 65 ms at each crossing. */
const slowLink = { ...testEngine, activationBytes: 23_498, crossingBandwidth: 2_700 };
const latencyTarget = 600;
/** Milliseconds after which a caller without a first event leaves. */
const patience = 2_000;

interface Load {
    readonly gateways: number;
    /** Milliseconds between two requests of all callers. */
    readonly interval: number;
    readonly duration: number;
    /** Whether all callers are at one gateway. */
    readonly isAtOne?: boolean;
    /** Whether each gateway knows which part of the requests it has. */
    readonly knowsLoads?: boolean;
}

/** A gateway of a site whose two data centres have one chain together. */
function createRouter(
    clock: ManualClock,
    gateways: number,
    random: Random,
    isOn?: MechanismSwitch,
    directory = new TargetDirectory({ clock, onChange: () => undefined }),
    loadShare?: () => number,
) {
    directory.put(testTarget("t1", "large", { first: 0, end: 40 }, "x"));
    directory.put(testTarget("t2", "large", { first: 40, end: 80 }, "y"));
    return new ChainRouter({
        clock,
        service: "model",
        dataCentre: "x",
        directory,
        suspicions: new TargetSuspicions(clock),
        paces: new TargetPaces(clock),
        rests: noRests,
        peerLoad: () => 0,
        crossingAllowance: new CrossingAllowance({ clock, random, gateways: () => gateways, loadShare }),
        isOn,
    });
}

/** Sends requests over the only chain, whose transfers queue on the link, and counts what callers get. */
function play({ gateways, interval, duration, isAtOne = false, knowsLoads = false }: Load, isOn?: MechanismSwitch) {
    const clock = new ManualClock();
    const random = seededRandom(7);
    const routers = Array.from({ length: gateways }, (_, index) => {
        const share = () => isAtOne ? (index === 0 ? 1 : 0) : 1 / gateways;
        return createRouter(clock, gateways, random, isOn, undefined, knowsLoads ? share : undefined);
    });
    const counts = { inTime: 0, late: 0, left: 0, refused: 0 };
    let linkFreeAt = 0;
    for (let sent = 0; sent < duration; sent += interval) {
        clock.advance(interval);
        const router = routers[isAtOne ? 0 : random.below(gateways)];
        const load = router?.choose(slowLink, new Set());
        if (router === undefined || load === undefined) {
            counts.refused++;
            continue;
        }
        router.noteSend(slowLink, load);
        linkFreeAt = Math.max(linkFreeAt, clock.now()) + crossingTime(slowLink) * load.chain.crossings;
        const wait = linkFreeAt - clock.now();
        counts[wait > patience ? "left" : wait > latencyTarget ? "late" : "inTime"]++;
    }
    return counts;
}

// While no data centre had a whole chain, all requests went over one link, and none got an answer in time.
test("a link that cannot carry all requests serves a part of them in time, and the others are refused at once", () => {
    for (const gateways of [5, 23, 68]) {
        const load = { gateways, interval: 11, duration: 4_000 };
        const withoutLimit = play(load, mechanism => mechanism !== "crossing-allowance");
        const limited = play(load);
        assert.equal(withoutLimit.refused, 0);
        assert.ok(withoutLimit.left > withoutLimit.inTime);
        assert.equal(limited.left, 0);
        assert.ok(limited.inTime > 2 * withoutLimit.inTime, `${limited.inTime} and ${withoutLimit.inTime} in time`);
        assert.ok(limited.inTime > 5 * limited.late, `${limited.inTime} in time, ${limited.late} late`);
    }
});

test("requests that the link can carry are not refused, in groups and one by one", () => {
    const few = play({ gateways: 3, interval: 250, duration: 20_000 });
    assert.deepEqual(few, { inTime: 80, late: 0, left: 0, refused: 0 });
});

test("when all callers are at one gateway, the link serves at least three quarters of what it serves for all", () => {
    for (const gateways of [6, 24, 68]) {
        const load = { gateways, interval: 11, duration: 8_000 };
        const atAll = play(load);
        const atOne = play({ ...load, isAtOne: true, knowsLoads: true });
        assert.ok(atOne.inTime >= 0.75 * atAll.inTime, `${atOne.inTime} and ${atAll.inTime} in time of ${gateways}`);
        assert.equal(atOne.left, 0);
        assert.ok(play({ ...load, isAtOne: true }).inTime < 0.75 * atAll.inTime);
    }
});

// Streams of two lost chains were resumed over the link, which took up to 1.9 s to carry all their tokens again.
test("streams are resumed over the link while it can carry them, then over whole chains, and over it if none is left", () => {
    const clock = new ManualClock();
    const directory = new TargetDirectory({ clock, onChange: () => undefined });
    const router = createRouter(clock, 23, seededRandom(7), undefined, directory);
    directory.put(testTarget("t3", "large", { first: 0, end: 40 }, "z"));
    directory.put(testTarget("t4", "large", { first: 40, end: 80 }, "z"));
    const resume = () => {
        const load = router.chooseToResume(slowLink, new Set());
        assert.ok(load !== undefined);
        load.inFlight++;
        router.noteSend(slowLink, load);
        return load.chain.crossings;
    };
    const resumed = Array.from({ length: 40 }, resume);
    assert.ok(resumed.filter(crossings => crossings > 0).length <= 1);
    directory.put({ ...testTarget("t4", "large", { first: 40, end: 80 }, "z"), state: "draining" });
    assert.equal(resume(), 1);
});

test("chains within a data centre and links without a limit have no allowance", () => {
    const clock = new ManualClock();
    const router = createRouter(clock, 1, seededRandom(7));
    for (let sent = 0; sent < 100; sent++) {
        const load = router.choose(testEngine, new Set());
        assert.ok(load !== undefined);
        router.noteSend(testEngine, load);
    }
});
