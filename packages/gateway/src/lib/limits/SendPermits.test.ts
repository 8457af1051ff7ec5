import { MetricRegistry } from "@waxwingspar/telemetry";
import { ManualClock, seededRandom } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { GatewayMetrics } from "../observation/Observation.js";
import { silentLogs, testTarget } from "../testing/fixtures.js";
import { type PermitGroup, SendPermits } from "./SendPermits.js";
import { TargetLimits } from "./TargetLimits.js";

const target = testTarget("t1", "large");
const millisecondsPerSecond = 1_000;

/** Two gateways, "a" and "b", that take "a" for the issuer. */
function createPair(groupSize = 2) {
    const clock = new ManualClock(1_000);
    const lost = { isLost: false };
    const create = (address: string, deliver: (datagram: string) => void) => {
        const observation = { logs: silentLogs(), metrics: new GatewayMetrics(new MetricRegistry(clock)) };
        const limits = new TargetLimits({ clock, observation });
        const group: PermitGroup = {
            address,
            groupSize,
            issuerShare: groupSize === Infinity ? 0 : 1,
            findIssuer: () => "a",
            send: (_, datagram) => lost.isLost ? undefined : deliver(datagram),
        };
        return { limits, permits: new SendPermits({ clock, random: seededRandom(1), limits, group, observation }) };
    };
    const a = create("a", datagram => b.permits.receive(datagram));
    const b = create("b", datagram => a.permits.receive(datagram));
    return { clock, lost, a, b };
}

test("a permit of the issuer is granted at the rate of the limit, whoever asks", async () => {
    const { clock, a, b } = createPair();
    b.limits.recordStatements({ t1: { rate: 2, age: 0 } });
    a.limits.recordStatements({ t1: { rate: 2, age: 0 } });
    let granted = 0;
    for (let elapsed = 0; elapsed < 60 * millisecondsPerSecond; elapsed += 50) {
        clock.advance(50);
        for (const { permits } of [a, b]) {
            granted += permits.mayAcquire(target, "waiting")
                    && await permits.acquire({ target, precedence: "waiting", requestId: "r1" })
                ? 1
                : 0;
        }
    }
    assert.ok(granted >= 115 && granted <= 122, `${granted}`);
});

test("the last permit is kept for a stream that has begun", async () => {
    const { clock, a } = createPair();
    a.limits.recordStatements({ t1: { rate: 1, age: 0 } });
    await a.permits.acquire({ target, precedence: "waiting", requestId: "r1" });
    clock.advance(1_500);
    assert.equal(await a.permits.acquire({ target, precedence: "waiting", requestId: "r1" }), false);
    assert.equal(await a.permits.acquire({ target, precedence: "running", requestId: "r1" }), true);
});

test("a denial tells when to ask again, and ends with the limit that caused it", async () => {
    const { b } = createPair();
    b.limits.recordStatements({ t1: { rate: 2, age: 300 } });
    assert.equal(await b.permits.acquire({ target, precedence: "waiting", requestId: "r1" }), false);
    assert.equal(b.permits.mayAcquire(target, "waiting"), false);
    assert.equal(b.permits.retryAfter([target], "waiting"), 1_000);
    b.limits.recordStatements({ t1: { rate: 8, age: 0 } });
    assert.equal(b.permits.mayAcquire(target, "waiting"), true);
});

test("an issuer that knows of no limit any more permits the send and says so", async () => {
    const { a, b } = createPair();
    b.limits.recordStatements({ t1: { rate: 2, age: 500 } });
    a.limits.recordStatements({ t1: { age: 0 } });
    assert.equal(await b.permits.acquire({ target, precedence: "waiting", requestId: "r1" }), true);
    assert.equal(b.permits.isNeeded(target), false);
});

test("while its issuer is silent, a gateway uses half of its equal part", async () => {
    const { clock, lost, b } = createPair();
    b.limits.recordStatements({ t1: { rate: 4, age: 0 } });
    lost.isLost = true;
    let granted = 0;
    for (let elapsed = 0; elapsed < 100 * millisecondsPerSecond; elapsed += 100) {
        const decision = b.permits.mayAcquire(target, "waiting")
            && b.permits.acquire({ target, precedence: "waiting", requestId: "r1" });
        await clock.advanceAsync(100);
        granted += await decision ? 1 : 0;
    }
    assert.ok(granted >= 70 && granted <= 101, `${granted}`);
});

test("a gateway that does not know its group issues nothing", async () => {
    const { clock, a } = createPair(Infinity);
    a.limits.recordStatements({ t1: { rate: 4, age: 0 } });
    await a.permits.acquire({ target, precedence: "waiting", requestId: "r1" });
    clock.advance(9_000);
    assert.equal(await a.permits.acquire({ target, precedence: "running", requestId: "r1" }), false);
});
