import { ManualClock } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { healthyReport, noRests, silentObservation } from "../testing/fixtures.js";
import { timedTestEngine } from "../testing/timedFixtures.js";
import { unequalDirectory } from "../testing/UnequalSite.js";
import { ChainService } from "./ChainService.js";
import { TargetPaces } from "./TargetPaces.js";
import { TargetSuspicions } from "./TargetSuspicions.js";

const none: ReadonlySet<string> = new Set();
const user = { leaveChain: () => undefined };

function createService() {
    const clock = new ManualClock();
    const service = new ChainService({
        clock,
        service: "model",
        dataCentre: "x",
        engine: timedTestEngine,
        directory: unequalDirectory(clock),
        suspicions: new TargetSuspicions(clock),
        paces: new TargetPaces(clock),
        rests: noRests,
        peerLoad: () => 0,
        maxEventInterval: () => 250,
        engines: {
            fetchReport: () => Promise.resolve(healthyReport),
            place: () => Promise.resolve({ kind: "begun" }),
        },
        observation: silentObservation(clock),
    });
    const load = service.choose(none);
    assert.ok(load !== undefined);
    /** Plays 20 streams with 10 events each at the same time. */
    const playStreams = (firstEvent: number, interval: number) => {
        const expected = Array.from({ length: 20 }, () => {
            const time = service.expectFirstEvent(load);
            service.begin(load, user);
            return time;
        });
        clock.advance(firstEvent);
        expected.forEach(time => service.firstEvent(load, firstEvent, time));
        for (let event = 1; event < 10; event++) {
            clock.advance(interval);
            expected.forEach(() => service.event(load, interval));
        }
        expected.forEach(() => service.end(load, user, true));
    };
    return { service, load, playStreams };
}

// Guards against measurements of streams that never reach the predictions.
test("a chain whose events come later than predicted is left for one in another data centre", () => {
    const { service, load, playStreams } = createService();
    assert.equal(load.chain.dataCentre, "x");
    playStreams(35, 30);
    assert.equal(service.choose(none, 3_000), load);
    playStreams(400, 500);
    assert.equal(service.choose(none, 3_000)?.chain.dataCentre, "y");
});

// Guards against a prediction that is learned from the crowd of streams that wait for slots of a full chain.
test("no first event is expected of a chain that is nearly full", () => {
    const { service, load } = createService();
    assert.ok((service.expectFirstEvent(load) ?? 0) > 20);
    load.inFlight = 130;
    assert.equal(service.expectFirstEvent(load), undefined);
});
