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
    const directory = new TargetDirectory({ clock: new ManualClock() });
    const logger = Object.assign(Object.create(silentLogs().directory) as ReturnType<typeof silentLogs>["directory"], {
        warn: (fields: unknown) => warnings.push(fields),
    });
    const decode = (id: string, document: unknown): DecodedTarget =>
        typeof document === "object"
            ? { kind: "target", target: { ...target, id } }
            : { kind: "unusable", reason: `it is a ${typeof document}` };
    return { directory, warnings, list: new TargetList({ directory, decode, logger }) };
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
