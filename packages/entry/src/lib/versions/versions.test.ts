import { type Kind, type Resource, resource, specSchemas, StaticConfiguration } from "@waxwingspar/config";
import { type Random, seededRandom } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { routingTargets } from "../routingTargets.js";
import { ModelVersions } from "./ModelVersions.js";
import { pipelineCounts } from "./pipelineCounts.js";

function make<K extends Kind>(kind: K, name: string, spec: unknown): Resource<K> {
    return resource(kind, name, specSchemas[kind].parse(spec) as Resource<K>["spec"]);
}

function model(current: string, replicas = 4): Resource {
    return make("model", "demo", { layers: 4, versions: ["v1", "v2"], current, replicas });
}

function target(name: string, holds: unknown[] = []): Resource {
    return make("target", name, { host: "127.0.0.1", port: 1000, dataCentre: "dc1", holds });
}

/** Placements with two stages each, all on the same two targets. */
function placements(version: string, count: number, ready = true): Resource[] {
    const stages = [{ target: "a", first: 0, last: 1 }, { target: "b", first: 2, last: 3 }];
    return Array.from(
        { length: count },
        (_, index) =>
            make("placement", `${version}-${ready ? "ready" : "loading"}-${index}`, {
                model: "demo",
                version,
                stages,
                ready,
            }),
    );
}

function pin(version: string, first: number, last: number): object {
    return { model: "demo", version, first, last };
}

function configurationOf(...resources: Resource[]): StaticConfiguration {
    const configuration = new StaticConfiguration();
    configuration.set([target("a"), target("b"), ...resources]);
    return configuration;
}

function versionsOf(random: Random, ...resources: Resource[]): ModelVersions {
    return new ModelVersions(configurationOf(...resources), random);
}

/** Of 1,000 requests, the number for which the current version v2 is ranked first. */
function shareOfCurrent(...resources: Resource[]): number {
    const versions = versionsOf(seededRandom(7), ...resources);
    return Array.from({ length: 1000 }, () => versions.rank("demo", undefined)[0]).filter(one => one === "v2").length;
}

test("only the old version serves until a pipeline of the new one is ready", () => {
    assert.equal(shareOfCurrent(model("v2"), ...placements("v1", 4), ...placements("v2", 4, false)), 0);
});

test("requests are divided by the number of pipelines while a version is replaced", () => {
    const share = shareOfCurrent(model("v2"), ...placements("v1", 3), ...placements("v2", 1));
    assert.ok(share > 200 && share < 300, `${share} of 1000, seed 7`);
});

test("the current version comes before the old one once it has all its pipelines", () => {
    const resources = [model("v2"), ...placements("v1", 4), ...placements("v2", 4)];
    assert.equal(shareOfCurrent(...resources), 1000);
    assert.deepEqual(versionsOf(seededRandom(1), ...resources).rank("demo", undefined), ["v2", "v1"]);
});

test("a version that is not listed gets no requests, and one without pipelines only if there is no other", () => {
    const only = make("model", "demo", { layers: 4, versions: ["v2"], current: "v2" });
    assert.equal(shareOfCurrent(only, ...placements("v1", 4)), 1000);
    assert.deepEqual(versionsOf(seededRandom(1), model("v2")).rank("demo", undefined), ["v2"]);
    assert.deepEqual(versionsOf(seededRandom(1), model("v2"), ...placements("v1", 1)).rank("demo", undefined), [
        "v1",
        "v2",
    ]);
});

test("a request with an adapter uses only versions that the adapter fits", () => {
    const adapter = make("adapter", "polite", { model: "demo", versions: ["v1"], bytes: 1 });
    const versions = versionsOf(seededRandom(1), model("v2"), adapter, ...placements("v1", 1), ...placements("v2", 4));
    assert.deepEqual(versions.rank("demo", "polite"), ["v1"]);
});

test("pinned layers count only as complete chains", () => {
    const configuration = configurationOf(
        model("v1"),
        target("c", [pin("v1", 0, 1), pin("v2", 0, 1)]),
        target("d", [pin("v1", 0, 2), pin("v2", 3, 3)]),
        target("e", [pin("v1", 2, 3)]),
        target("f", [pin("v1", 2, 3)]),
    );
    const counts = pipelineCounts(configuration).get("demo");
    assert.deepEqual([counts?.get("v1"), counts?.get("v2")], [1, 0]);
});

test("a target gets work for a placement only while the placement is ready", () => {
    const configuration = configurationOf(model("v1"), ...placements("v1", 1, false));
    const heldBy = () => routingTargets(configuration).map(({ holds }) => holds.length);
    assert.deepEqual(heldBy(), [0, 0]);
    configuration.set([target("a"), target("b", [pin("v1", 2, 3)]), model("v1"), ...placements("v1", 1)]);
    assert.deepEqual(heldBy(), [1, 1], "a pin and a placement of the same layers are one holding");
    configuration.set([target("a"), target("b"), model("v1"), ...placements("v1", 1, false)]);
    assert.deepEqual(heldBy(), [0, 0], "it was withdrawn");
});
