import assert from "node:assert/strict";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { pathToFileURL } from "node:url";
import { readStateChart, StateChart } from "./StateChart.js";

function chartFile(folder: string, chart: object): URL {
    const path = join(folder, "chart.json");
    writeFileSync(path, JSON.stringify(chart));
    return pathToFileURL(path);
}

test("a chart follows its file, and a file with a transition to an unknown state is refused", t => {
    const folder = mkdtempSync(join(tmpdir(), "chart-"));
    t.after(() => rmSync(folder, { recursive: true }));
    const states = { idle: { on: { start: "busy" } }, busy: { on: { start: "busy", stop: "gone" } }, gone: {} };
    const chart = new StateChart<keyof typeof states, "start" | "stop">(
        readStateChart(chartFile(folder, { initial: "idle", states })),
    );
    const steps = (["stop", "start", "start", "stop", "start"] as const).map(event => [chart.send(event), chart.state]);
    assert.deepEqual(steps, [[false, "idle"], [true, "busy"], [true, "busy"], [true, "gone"], [false, "gone"]]);
    assert.equal(chart.ended, true);

    assert.throws(() => readStateChart(chartFile(folder, { initial: "toString", states })), /no state toString/);
    const broken = { idle: { on: { start: "missing" } } };
    assert.throws(() => readStateChart(chartFile(folder, { initial: "idle", states: broken })), /no state missing/);
});
