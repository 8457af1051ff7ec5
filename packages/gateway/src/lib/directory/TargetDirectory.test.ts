import { ManualClock } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { currentMoment } from "../Moment.js";
import { type Target } from "./Target.js";
import { type DirectoryChange, TargetDirectory } from "./TargetDirectory.js";

const target: Target = { id: "a", service: "s", host: "10.0.0.1", port: 80, dataCentre: "x", state: "ready" };

function createDirectory() {
    const clock = new ManualClock();
    const changes: DirectoryChange["kind"][] = [];
    const directory = new TargetDirectory({ clock, onChange: ({ kind }) => changes.push(kind) });
    directory.put(target);
    return { clock, directory, changes };
}

test("removed while the store works: dropped immediately", () => {
    const { directory } = createDirectory();
    directory.remove("a", -Infinity);
    assert.deepEqual(directory.readyTargets("s"), []);
});

test("removed within the grace period after an outage: in use until the period ends, not longer", () => {
    const { clock, directory } = createDirectory();
    directory.remove("a", clock.now() + 400);
    clock.advance(399);
    assert.equal(directory.readyTargets("s").length, 1);
    clock.advance(1);
    assert.equal(directory.readyTargets("s").length, 0);
});

test("removed after the grace period: dropped immediately, however recent the outage", () => {
    const { clock, directory } = createDirectory();
    clock.advance(3_000);
    directory.remove("a", clock.now() - 1);
    assert.equal(directory.get("a"), undefined);
});

test("a lapse reports for how long the target is kept", () => {
    const clock = new ManualClock();
    const kept: (number | undefined)[] = [];
    const directory = new TargetDirectory({ clock, onChange: ({ keptFor }) => kept.push(keptFor) });
    directory.put(target);
    directory.remove("a", clock.now() + 400);
    assert.deepEqual(kept, [undefined, 400]);
});

test("the age of the directory is measured from the moment to which it was confirmed", () => {
    const { clock, directory } = createDirectory();
    assert.equal(directory.age, Infinity);
    const asked = currentMoment(clock);
    clock.advance(700);
    directory.confirm(asked);
    clock.advance(50);
    assert.equal(directory.age, 750);
});

test("a target whose entry is written again within the grace period stays", () => {
    const { clock, directory, changes } = createDirectory();
    directory.remove("a", clock.now() + 400);
    directory.put(target);
    clock.advance(1_000);
    assert.equal(directory.get("a"), target);
    assert.deepEqual(changes, ["added", "lapsed", "returned"]);
});

test("a draining target that is removed is dropped immediately, even after an outage", () => {
    const { clock, directory } = createDirectory();
    directory.put({ ...target, state: "draining" });
    directory.remove("a", clock.now() + 400);
    assert.equal(directory.get("a"), undefined);
});

test("a draining target gets no new requests", () => {
    const { directory } = createDirectory();
    directory.put({ ...target, state: "draining" });
    assert.deepEqual(directory.readyTargets("s"), []);
});

test("targets that are missing from a complete list are removed", () => {
    const { directory } = createDirectory();
    directory.replaceAll([{ ...target, id: "b" }], -Infinity);
    assert.deepEqual(directory.list().map(({ id }) => id), ["b"]);
});

test("a restart under the same id is reported, and clears the layers of the target", () => {
    const { directory, changes } = createDirectory();
    directory.put({ ...target, startedAt: 1, layers: { first: 0, end: 5 } });
    directory.put({ ...target, startedAt: 2 });
    assert.equal(directory.get("a")?.layers, undefined);
    assert.equal(changes.at(-1), "restarted");
});

test("a target that says it leaves is draining whatever its entry says, and its next incarnation is not", () => {
    const { directory } = createDirectory();
    const [earlier, later] = [{ ...target, startedAt: 1 }, { ...target, startedAt: 2 }];
    directory.put(earlier);
    assert.equal(directory.recordLeaving(earlier), true);
    assert.equal(directory.recordLeaving(earlier), false);
    directory.put(earlier);
    directory.replaceAll([earlier], -Infinity);
    assert.deepEqual(directory.readyTargets("s"), []);
    assert.equal(directory.mayReceive(earlier), false);
    directory.confirmsIncarnation(earlier, 2);
    assert.equal(directory.get("a")?.state, "ready");
    directory.put(later);
    assert.deepEqual(directory.readyTargets("s"), [later]);
});

test("a target that says it leaves before it is listed gets no requests once it is", () => {
    const { directory } = createDirectory();
    const unlisted: Target = { ...target, id: "b" };
    directory.recordLeaving(unlisted);
    directory.put(unlisted);
    assert.deepEqual(directory.readyTargets("s").map(({ id }) => id), ["a"]);
});

test("a late entry of an earlier incarnation is ignored", () => {
    const { clock, directory, changes } = createDirectory();
    directory.put({ ...target, startedAt: 2 });
    clock.advance(6_000);
    directory.put({ ...target, startedAt: 1, layers: { first: 0, end: 5 } });
    assert.equal(directory.get("a")?.layers, undefined);
    assert.equal(changes.at(-1), "stale");
});

test("an earlier start time is accepted once the later one has not been seen for 8 s: the clock was set back", () => {
    const { clock, directory } = createDirectory();
    directory.put({ ...target, startedAt: 9_000 });
    clock.advance(8_000);
    directory.put({ ...target, startedAt: 4_000 });
    assert.equal(directory.get("a")?.startedAt, 4_000);
});

test("a reply of a new incarnation marks the target as restarted before its entry changes", () => {
    const { directory } = createDirectory();
    const earlier: Target = { ...target, startedAt: 1, layers: { first: 0, end: 5 } };
    directory.put(earlier);
    assert.equal(directory.confirmsIncarnation(earlier, 2), false);
    assert.equal(directory.get("a")?.layers, undefined);
    directory.put(earlier);
    assert.equal(directory.get("a")?.layers, undefined);
    directory.put({ ...target, startedAt: 2, layers: { first: 5, end: 9 } });
    assert.deepEqual(directory.get("a")?.layers, { first: 5, end: 9 });
});

// Guards against orders to a target of another service that got the address of one that is gone.
test("a reply of another target at the same address is not taken for a restart", () => {
    const { directory, changes } = createDirectory();
    const gone: Target = { ...target, startedAt: 1, layers: { first: 0, end: 5 } };
    directory.put(gone);
    directory.put({ ...target, id: "b", service: "other", startedAt: 9 });
    const { length } = changes;
    assert.equal(directory.confirmsIncarnation(gone, 9), false);
    assert.deepEqual(directory.get("a"), gone);
    assert.equal(changes.length, length);
    assert.equal(directory.confirmsIncarnation(gone, 8), false);
    assert.equal(directory.get("a")?.startedAt, 8, "a restart under its id is seen as before");
});

test("a reply of an earlier incarnation does not apply to the current entry", () => {
    const { directory } = createDirectory();
    const later = { ...target, startedAt: 2 };
    directory.put(later);
    assert.equal(directory.confirmsIncarnation(later, 1), false);
    assert.equal(directory.confirmsIncarnation(later, 2), true);
    assert.equal(directory.confirmsIncarnation(later, undefined), true);
    assert.equal(directory.confirmsIncarnation({ ...target, startedAt: 1 }, undefined), false);
});

test("a restored list brings no target back that left, is leaving, or has started again", () => {
    const { directory, changes } = createDirectory();
    directory.put({ ...target, id: "b" });
    directory.put({ ...target, id: "c", startedAt: 7 });
    directory.remove("a", -Infinity);
    directory.put({ ...target, id: "b", state: "draining" });
    const copy = [target, { ...target, id: "b" }, { ...target, id: "c", startedAt: 3 }, { ...target, id: "d" }];
    directory.replaceAll(copy, -Infinity, () => true);
    assert.deepEqual(directory.readyTargets("s").map(({ id, startedAt }) => `${id} ${startedAt}`), [
        "c 7",
        "d undefined",
    ]);
    assert.equal(changes.filter(kind => kind === "stale").length, 3);
});

test("a target ignored in a restored list is added by the next complete list", () => {
    const { directory } = createDirectory();
    directory.remove("a", -Infinity);
    directory.replaceAll([target], -Infinity, () => true);
    assert.equal(directory.readyTargets("s").length, 0);
    directory.replaceAll([target], -Infinity);
    assert.equal(directory.readyTargets("s").length, 1);
});
