import { ManualClock } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
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

test("removed while the store is well: gone at once", () => {
    const { directory } = createDirectory();
    directory.remove("a", -Infinity);
    assert.deepEqual(directory.readyTargets("s"), []);
});

test("removed within the grace after an outage: in use until the grace ends, not longer", () => {
    const { clock, directory } = createDirectory();
    directory.remove("a", clock.now() + 400);
    clock.advance(399);
    assert.equal(directory.readyTargets("s").length, 1);
    clock.advance(1);
    assert.equal(directory.readyTargets("s").length, 0);
});

test("removed after the grace has ended: gone at once, however recent the outage", () => {
    const { clock, directory } = createDirectory();
    clock.advance(3_000);
    directory.remove("a", clock.now() - 1);
    assert.equal(directory.get("a"), undefined);
});

test("back within the grace: stays", () => {
    const { clock, directory, changes } = createDirectory();
    directory.remove("a", clock.now() + 400);
    directory.put(target);
    clock.advance(1_000);
    assert.equal(directory.get("a"), target);
    assert.deepEqual(changes, ["added", "lapsed", "returned"]);
});

test("a draining target that vanishes has left, also after an outage", () => {
    const { clock, directory } = createDirectory();
    directory.put({ ...target, state: "draining" });
    directory.remove("a", clock.now() + 400);
    assert.equal(directory.get("a"), undefined);
});

test("a draining target gets no new work", () => {
    const { directory } = createDirectory();
    directory.put({ ...target, state: "draining" });
    assert.deepEqual(directory.readyTargets("s"), []);
});

test("whatever a whole list lacks is removed", () => {
    const { directory } = createDirectory();
    directory.replaceAll([{ ...target, id: "b" }], -Infinity);
    assert.deepEqual(directory.list().map(({ id }) => id), ["b"]);
});
