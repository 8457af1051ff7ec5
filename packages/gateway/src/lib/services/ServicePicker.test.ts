import { ManualClock, seededRandom } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { type Target } from "../directory/Target.js";
import { TargetDirectory } from "../directory/TargetDirectory.js";
import { ServicePicker } from "./ServicePicker.js";

function createPicker(dataCentres = ["x", "y", "z"]) {
    const clock = new ManualClock();
    clock.advance(60_000);
    const directory = new TargetDirectory({ clock });
    const targets: Target[] = dataCentres.map(dataCentre => ({
        id: dataCentre,
        service: "s",
        host: "10.0.0.1",
        port: 80,
        dataCentre,
        state: "ready",
    }));
    targets.forEach(target => directory.put(target));
    const [x] = targets;
    assert.ok(x !== undefined);
    return { clock, directory, x, picker: new ServicePicker({ clock, service: "s", dataCentre: "x", directory }) };
}

const none: ReadonlySet<string> = new Set();

test("prefers the gateway's own data centre", () => {
    assert.equal(createPicker().picker.choose(none)?.id, "x");
});

test("avoids a target that failed, and chooses it again later", () => {
    const { clock, picker, x } = createPicker();
    picker.sent(x);
    picker.ended(x, "failed", 5);
    assert.notEqual(picker.choose(none)?.id, "x");
    clock.advance(10_000);
    assert.equal(picker.choose(none)?.id, "x");
});

test("avoids a target with unanswered requests in flight", () => {
    const { picker, x } = createPicker();
    picker.sent(x);
    picker.sent(x);
    assert.notEqual(picker.choose(none)?.id, "x");
});

test("avoids a slow target", () => {
    const { picker, x } = createPicker();
    for (let i = 0; i < 10; i++) {
        picker.sent(x);
        picker.ended(x, "served", 500);
    }
    assert.notEqual(picker.choose(none)?.id, "x");
});

test("never chooses a target that is excluded or draining", () => {
    const { directory, picker } = createPicker(["x", "y"]);
    assert.equal(picker.choose(new Set(["x"]))?.id, "y");
    const leaving = directory.get("x");
    directory.put({ ...leaving, state: "draining" } as Target);
    assert.equal(picker.choose(none)?.id, "y");
    assert.equal(picker.choose(new Set(["y"])), undefined);
});

test("a failure from before a restart does not count against the restarted target", () => {
    const { directory, picker, x } = createPicker();
    const [earlier, later] = [{ ...x, startedAt: 1 }, { ...x, startedAt: 2 }];
    directory.put(earlier);
    picker.sent(earlier);
    directory.put(later);
    picker.ended(earlier, "failed", 5);
    assert.equal(picker.choose(none), later);
});

test("spreads requests over targets of equal cost, unless the mechanism is off", () => {
    for (const isOn of [true, false]) {
        const { clock, directory } = createPicker(["y", "z"]);
        const options = { clock, service: "s", dataCentre: "x", directory, random: seededRandom(1), isOn: () => isOn };
        const picker = new ServicePicker(options);
        const chosen = Array.from({ length: 100 }, () => picker.choose(none)?.id);
        const share = chosen.filter(id => id === "y").length / chosen.length;
        assert.ok(isOn ? share > 0.35 && share < 0.65 : share === 1, `${share}`);
    }
});

test("counts the requests of other gateways at targets that list their slots", () => {
    const { clock, directory, x } = createPicker();
    const knownLoad = (head: string) => head === "x" ? 3 : undefined;
    const picker = new ServicePicker({ clock, service: "s", dataCentre: "x", directory, knownLoad });
    assert.equal(picker.choose(none)?.id, "x");
    directory.put({ ...x, slots: 6 });
    assert.notEqual(picker.choose(none)?.id, "x");
});
