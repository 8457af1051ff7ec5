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

/** A duty over two small targets that hold half of the layers each, and a third one without any. */
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
    const hold = (id: string, layers: LayerRange | undefined) => directory.put(testTarget(id, "small", layers));
    hold("t1", { first: 0, end: 5 });
    hold("t2", { first: 5, end: 10 });
    hold("t3", undefined);
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
    const answerBy = (next: (order: GivenOrder) => OrderResult) => {
        answer = next;
    };
    const suspectAt = (id: string) => {
        const state = { suspects: [id], slowTargets: {}, chainLoads: {}, crashes: {}, mayTakeDuty: true };
        peers.others = addSums([peers.others, sumsOf("p", state)]);
    };
    return { clock, directory, suspicions, paces, orders, lease, duty, hold, answerBy, suspectAt };
}

test("a range whose standby loads already needs no further order", async () => {
    const { clock, directory, orders, duty } = createDuty();
    duty.start();
    await clock.advanceAsync(2_000);
    orders.length = 0;
    directory.remove("t2", 0);
    await clock.advanceAsync(1_000);
    assert.deepEqual(orders.map(({ id }) => id), []);
});

test("an order without an answer is given again soon, with the same count of orders", async () => {
    const { clock, orders, duty, answerBy } = createDuty();
    answerBy(() => ({ kind: orders.length < 3 ? "unknown" : "begun", reason: "timeout" }));
    duty.start();
    await clock.advanceAsync(2_000);
    assert.deepEqual(orders.map(({ id }) => id), ["t3", "t3", "t3"]);
    assert.deepEqual(orders.map(({ expectedOrders }) => expectedOrders), [0, 0, 0]);
});

test("an order that has begun is not given again while it may be under way", async () => {
    const { clock, orders, duty } = createDuty();
    duty.start();
    await clock.advanceAsync(3_000);
    assert.equal(orders.length, 1);
});

test("without the lease no orders", async () => {
    const { clock, orders, lease, duty } = createDuty();
    lease.isHeld = false;
    duty.start();
    await clock.advanceAsync(3_000);
    assert.equal(orders.length, 0);
    lease.isHeld = true;
    await clock.advanceAsync(1_000);
    assert.equal(orders.length, 1);
});

test("targets that come and go for minutes do not put the first plan off", async () => {
    const { clock, orders, duty, hold, directory } = createDuty();
    duty.start();
    for (let change = 0; change < 30; change++) {
        hold("t9", undefined);
        await clock.advanceAsync(200);
        directory.remove("t9", 0);
        await clock.advanceAsync(200);
    }
    assert.ok(orders.length > 0);
});

test("one gateway alone does not take a target for lost, two do", async () => {
    const { clock, suspicions, orders, duty, hold, suspectAt } = createDuty();
    hold("t3", { first: 0, end: 5 });
    hold("t4", undefined);
    duty.start();
    await clock.advanceAsync(2_000);
    hold("t4", undefined);
    orders.length = 0;
    suspicions.suspect("t2", "lost", 60_000);
    suspectAt("t9");
    await clock.advanceAsync(1_000);
    assert.deepEqual(orders.filter(({ layers }) => layers.first === 5), []);
    suspectAt("t2");
    await clock.advanceAsync(6_000);
    assert.ok(orders.some(({ id, layers }) => id !== "t2" && layers.end === 10));
});

test("orders to a target that has started again count from 0", async () => {
    const { clock, orders, duty, directory, hold } = createDuty();
    hold("t2", undefined);
    duty.start();
    await clock.advanceAsync(2_000);
    const before = orders.filter(({ id }) => id === "t2").length;
    assert.ok(before > 0);
    directory.put({ ...testTarget("t2", "small"), startedAt: 7 });
    await clock.advanceAsync(1_000);
    const again = orders.filter(({ id }) => id === "t2").slice(before);
    assert.deepEqual(again.map(({ expectedOrders }) => expectedOrders), [0]);
});

test("the answer to an order of an earlier start does not count for the next", async () => {
    const { clock, orders, duty, directory, hold, answerBy } = createDuty();
    hold("t2", undefined);
    answerBy(({ id }) => {
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
