import { ManualClock } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { silentLogs } from "../testing/fixtures.js";
import { type Target } from "./Target.js";
import { TargetDirectory } from "./TargetDirectory.js";
import { type DecodedTarget, TargetList } from "./TargetList.js";

const target: Target = { id: "a", service: "s", host: "10.0.0.1", port: 80, dataCentre: "x", state: "ready" };

function createList() {
    const warnings: unknown[] = [];
    const clock = new ManualClock();
    const directory = new TargetDirectory({ clock });
    const logger = Object.assign(Object.create(silentLogs().directory) as ReturnType<typeof silentLogs>["directory"], {
        warn: (fields: unknown) => warnings.push(fields),
    });
    const decode = (id: string, document: unknown): DecodedTarget =>
        typeof document === "object"
            ? { kind: "target", target: { ...target, id } }
            : { kind: "unusable", reason: `it is a ${typeof document}` };
    return { clock, directory, warnings, list: new TargetList({ clock, directory, decode, logger }) };
}

const row = (key: string, value: unknown, version = 1) => ({ key, value, version });

test("entries that describe no target do not affect the others, and each is logged once", () => {
    const { directory, warnings, list } = createList();
    list.applySnapshot([row("a", {}), row("b", 7), row("c", "x")], -Infinity);
    list.applySnapshot([row("a", {}), row("b", 7), row("c", "x")], -Infinity);
    assert.deepEqual(directory.list().map(({ id }) => id), ["a"]);
    assert.equal(warnings.length, 2);
});

test("an entry overwritten with an unusable one removes its target, even around an outage", () => {
    const { directory, list } = createList();
    list.applySnapshot([row("a", {})], -Infinity);
    list.applyChanges([{ key: "a", row: row("a", 7, 2) }], Infinity);
    assert.deepEqual(directory.list(), []);
    list.applyChanges([{ key: "a", row: row("a", {}, 3) }], -Infinity);
    assert.equal(directory.list().length, 1);
});

test("an entry that becomes unusable again is logged again", () => {
    const { warnings, list } = createList();
    for (const value of [7, {}, 7]) {
        list.applyChanges([{ key: "a", row: row("a", value) }], -Infinity);
    }
    assert.equal(warnings.length, 2);
});

test("a departed target's row from a copy is not taken when read again, until it changes or outlasts the target", () => {
    for (const isChanged of [true, false]) {
        const { clock, directory, list } = createList();
        list.applySnapshot([row("a", {})], -Infinity);
        list.applyChanges([{ key: "a", row: undefined }], -Infinity);
        list.applySnapshot([row("a", {})], -Infinity, true);
        list.applySnapshot([row("a", {})], -Infinity);
        assert.deepEqual(directory.list(), []);
        if (isChanged) {
            list.applySnapshot([row("a", {}, 2)], -Infinity);
        }
        else {
            clock.advance(7_900);
            assert.deepEqual(directory.list(), []);
            clock.advance(100);
        }
        assert.equal(directory.list().length, 1);
    }
});
