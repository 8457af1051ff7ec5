import assert from "node:assert/strict";
import { test } from "node:test";
import { planSite } from "./planSite.js";
import { type SitePlacement, type SiteTarget, type SiteView } from "./SiteView.js";

function target(name: string, change: Partial<SiteTarget> = {}): SiteTarget {
    const held = [{ model: "m", version: "v1", first: 0, last: 3, adapters: [] }];
    const info = { slots: 1, held, memory: 10, freeMemory: 6, role: "serving" as const, checksFence: false };
    return {
        name,
        spec: {
            host: "127.0.0.1",
            port: 1,
            dataCentre: "a",
            region: "local",
            accelerator: { kind: "generic", memory: 10, speed: 1 },
            link: { bandwidth: 1, latency: 0 },
            holds: [],
            slots: 1,
            checksFence: false,
        },
        alive: true,
        present: true,
        observation: { incarnation: "1", info, inUse: [] },
        observedAt: 1,
        settled: true,
        refused: [],
        ...change,
    };
}

function placement(index: number, targetName: string, ready: boolean): SitePlacement {
    const spec = { model: "m", version: "v1", ready, stages: [{ target: targetName, first: 0, last: 3 }] };
    return { name: `m.a.${index}`, resourceVersion: 1, spec };
}

function view(targets: SiteTarget[], placements: SitePlacement[], wanted = 1): SiteView {
    const spec = {
        layers: 4,
        versions: ["v1"],
        current: "v1",
        layerBytes: 1,
        activationBytes: 1,
        replicas: wanted,
        firstTokenBound: 1,
        tokenBound: 1,
        contextTokens: 1,
    };
    return {
        dataCentre: "a",
        models: [{ name: "m", spec, wanted }],
        adapters: [],
        targets: new Map(targets.map(found => [found.name, found])),
        placements,
    };
}

test("a pipeline becomes ready only on reports of settled targets", () => {
    const states = [true, false].map(settled => {
        const { pipelines, changes } = planSite(view([target("t", { settled })], [placement(0, "t", false)]));
        return [pipelines.get("m.a.0"), changes.map(({ spec }) => spec?.ready)];
    });
    assert.deepEqual(states, [["switching", [true]], ["loading", []]]);
});

test("a pipeline without reports keeps its ready flag", () => {
    const unseen = target("t", { observation: undefined, settled: false });
    const { pipelines, changes, orders } = planSite(view([unseen], [placement(0, "t", true)]));
    assert.deepEqual([pipelines.get("m.a.0"), changes, orders], ["serving", [], []]);
});

test("a target that is briefly missing is neither replaced nor counted as capacity", () => {
    const missing = target("t", { present: false });
    const both = [placement(0, "t", true), placement(1, "u", true)];
    const waiting = planSite(view([missing, target("u")], both, 2));
    assert.deepEqual([waiting.changes, [...waiting.pipelines.values()]], [[], ["serving", "serving"]]);
    // One of two pipelines is surplus. The one on the missing target is removed; otherwise the last one would be.
    const dropped = [missing, target("t")].map(found => {
        const { changes } = planSite(view([found, target("u")], both, 1));
        return changes.map(({ name, spec }) => [name, spec]);
    });
    assert.deepEqual(dropped, [[["m.a.0", undefined]], [["m.a.1", undefined]]]);
});

test("planning again on the result of a plan changes nothing", () => {
    const first = planSite(view([target("t"), target("u")], [], 2));
    const made = first.changes.map(({ name, spec }) => ({ name, spec: spec!, resourceVersion: 1 }));
    assert.equal(made.length, 2);
    const ready = planSite(view([target("t"), target("u")], made, 2));
    const serving = ready.changes.map(({ name, spec }) => ({ name, spec: spec!, resourceVersion: 2 }));
    assert.ok(serving.every(({ spec }) => spec.ready));
    const last = planSite(view([target("t"), target("u")], serving, 2));
    assert.deepEqual([last.changes, last.orders, last.unneededVersions], [[], [], []]);
    assert.equal(last.rollouts.get("m"), "steady");
});

// A delayed write recreated a placement on targets that had been given to another one of the same version. Both counted
// towards the wanted number, so the last pipeline of the old version was never replaced.
test("of two placements of one version that share a target one is dropped, and its replacement is placed", () => {
    const shared = [placement(0, "t", true), placement(1, "t", false)];
    const first = planSite(view([target("t"), target("u")], shared, 2));
    assert.deepEqual(first.changes.map(({ name, spec }) => [name, spec]), [["m.a.1", undefined]]);
    const second = planSite(view([target("t"), target("u")], shared.slice(0, 1), 2));
    const stages = second.changes.flatMap(({ spec }) => spec?.stages.map(stage => stage.target) ?? []);
    assert.deepEqual(stages, ["u"]);
});
