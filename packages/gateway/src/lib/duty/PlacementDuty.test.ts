import { MetricRegistry } from "@waxwingspar/telemetry";
import { ManualClock } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { type LayerOrder, type OrderResult } from "../chains/EngineControl.js";
import { TargetPaces } from "../chains/TargetPaces.js";
import { TargetSuspicions } from "../chains/TargetSuspicions.js";
import { type LayerRange } from "../directory/Target.js";
import { TargetDirectory } from "../directory/TargetDirectory.js";
import { GatewayMetrics } from "../observation/Observation.js";
import { addSums, sumsOf } from "../peers/GroupSums.js";
import { healthyReport, silentLogs, testEngine, testTarget } from "../testing/fixtures.js";
import { PlacementDuty } from "./PlacementDuty.js";

interface GivenOrder extends LayerOrder {
    readonly id: string;
}

/** Creates a placement duty for two small targets with half of the layers each, and a third one without layers. */
function createDuty() {
    const clock = new ManualClock();
    const directory = new TargetDirectory({ clock });
    const suspicions = new TargetSuspicions(clock);
    const paces = new TargetPaces(clock);
    const orders: GivenOrder[] = [];
    const lease = { isHeld: true, term: 1 as number | undefined };
    const peers = { others: addSums([]) };
    let answer: (order: GivenOrder) => OrderResult = () => ({ kind: "begun" });
    const engine = { ...testEngine, layers: 10, cacheBytesPerToken: 100 };
    const putTarget = (id: string, layers: LayerRange | undefined) => directory.put(testTarget(id, "small", layers));
    putTarget("t1", { first: 0, end: 5 });
    putTarget("t2", { first: 5, end: 10 });
    putTarget("t3", undefined);
    const duty = new PlacementDuty({
        clock,
        lease,
        directory,
        suspicions,
        paces,
        peers,
        engines: {
            fetchReport: ({ port }) => {
                const layers = directory.get(`t${port - 1_000}`)?.layers;
                return Promise.resolve({ ...healthyReport, orders: 0, layers });
            },
            place: ({ port }, order) => {
                const given = { id: `t${port - 1_000}`, ...order };
                orders.push(given);
                return Promise.resolve(answer(given));
            },
        },
        services: () => [{ name: "model", engine }],
        observation: {
            logs: silentLogs(),
            metrics: new GatewayMetrics(new MetricRegistry(clock)),
        },
    });
    const setAnswer = (next: (order: GivenOrder) => OrderResult) => {
        answer = next;
    };
    const suspectByPeer = (id: string) => {
        const state = {
            suspects: [id],
            slowTargets: {},
            chainLoads: {},
            crashes: {},
            partCrashes: {},
            safeRuns: {},
            limits: {},
            mayTakeDuty: true,
        };
        peers.others = addSums([peers.others, sumsOf("p", state)]);
    };
    return { clock, directory, suspicions, paces, orders, lease, duty, putTarget, setAnswer, suspectByPeer };
}

test("a lost range whose standby is already loading needs no further order", async () => {
    const { clock, directory, orders, duty } = createDuty();
    duty.start();
    await clock.advanceAsync(2_000);
    orders.length = 0;
    directory.remove("t2", 0);
    await clock.advanceAsync(1_000);
    assert.deepEqual(orders.map(({ id }) => id), []);
});

test("an unanswered order is sent again soon, with the same expected order count", async () => {
    const { clock, orders, duty, setAnswer } = createDuty();
    setAnswer(() => ({ kind: orders.length < 3 ? "unknown" : "begun", reason: "timeout" }));
    duty.start();
    await clock.advanceAsync(2_000);
    assert.deepEqual(orders.map(({ id }) => id), ["t3", "t3", "t3"]);
    assert.deepEqual(orders.map(({ expectedOrders }) => expectedOrders), [0, 0, 0]);
});

test("an accepted order is not sent again while it may be in progress", async () => {
    const { clock, orders, duty } = createDuty();
    duty.start();
    await clock.advanceAsync(3_000);
    assert.equal(orders.length, 1);
});

test("no orders are sent without the lease", async () => {
    const { clock, orders, lease, duty } = createDuty();
    lease.isHeld = false;
    duty.start();
    await clock.advanceAsync(3_000);
    assert.equal(orders.length, 0);
    lease.isHeld = true;
    await clock.advanceAsync(1_000);
    assert.equal(orders.length, 1);
});

test("continual changes in the list of targets do not delay the first plan indefinitely", async () => {
    const { clock, orders, duty, putTarget, directory } = createDuty();
    duty.start();
    for (let change = 0; change < 30; change++) {
        putTarget("t9", undefined);
        await clock.advanceAsync(200);
        directory.remove("t9", 0);
        await clock.advanceAsync(200);
    }
    assert.ok(orders.length > 0);
});

test("the layers of a target are moved when two gateways suspect it, not when one does", async () => {
    const { clock, suspicions, orders, duty, putTarget, suspectByPeer } = createDuty();
    putTarget("t3", { first: 0, end: 5 });
    putTarget("t4", undefined);
    duty.start();
    await clock.advanceAsync(2_000);
    putTarget("t4", undefined);
    orders.length = 0;
    suspicions.suspect("t2", "lost", 60_000);
    suspectByPeer("t9");
    await clock.advanceAsync(1_000);
    assert.deepEqual(orders.filter(({ layers }) => layers.first === 5), []);
    suspectByPeer("t2");
    await clock.advanceAsync(6_000);
    assert.ok(orders.some(({ id, layers }) => id !== "t2" && layers.end === 10));
});

test("the order count of a restarted target starts from 0", async () => {
    const { clock, orders, duty, directory, putTarget } = createDuty();
    putTarget("t2", undefined);
    duty.start();
    await clock.advanceAsync(2_000);
    const before = orders.filter(({ id }) => id === "t2").length;
    assert.ok(before > 0);
    directory.put({ ...testTarget("t2", "small"), startedAt: 7 });
    await clock.advanceAsync(1_000);
    const again = orders.filter(({ id }) => id === "t2").slice(before);
    assert.deepEqual(again.map(({ expectedOrders }) => expectedOrders), [0]);
});

test("the answer to an order of an earlier incarnation does not affect the next one", async () => {
    const { clock, orders, duty, directory, putTarget, setAnswer } = createDuty();
    putTarget("t2", undefined);
    setAnswer(({ id }) => {
        if (id === "t2" && directory.get("t2")?.startedAt === undefined) {
            directory.put({ ...testTarget("t2", "small"), startedAt: 7 });
        }
        return { kind: "begun" };
    });
    duty.start();
    await clock.advanceAsync(2_000);
    const given = orders.filter(({ id }) => id === "t2");
    assert.deepEqual(given.map(({ expectedOrders }) => expectedOrders), [0, 0]);
});
