import { resourceCodes } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { type Resource } from "../resources/Resource.js";
import { StaticConfiguration } from "../StaticConfiguration.js";
import { parseAllDesired } from "./parseDesired.js";
import { validateChanges } from "./validateChanges.js";

const model = { kind: "model", name: "m", spec: { layers: 8, versions: ["v1"], current: "v1" } };
const free = target("free", 1, {});
const service = { kind: "service", name: "s", spec: {} };
const organisation = { kind: "organisation", name: "o", spec: {} };
const tokenHash = "a".repeat(64);

const goodSite = [
    model,
    target("t1", 10, { holds: [pin(0, 3)] }),
    target("t2", 11, { holds: [pin(4, 7)] }),
    target("t3", 12, { service: "s" }),
    service,
    { kind: "organisation", name: "o", spec: { allow: ["m", "s"] } },
    { kind: "credential", name: "c", spec: { tokenHash, role: "caller", organisation: "o" } },
    { kind: "adapter", name: "a", spec: { model: "m", versions: ["v1"], bytes: 1 } },
];

/** Each row: the error, the resources beforehand, the change, and the expected code, resource and field. */
const badInputs: readonly [string, unknown[], unknown[], keyof typeof resourceCodes, string, string][] = [
    ["kind unknown", [], [{ kind: "modle", name: "m", spec: {} }], "invalidField", "modle/m", "kind"],
    ["kind missing", [], [{ name: "m", spec: {} }], "invalidField", "unnamed", "kind"],
    ["not an object", [], [7], "invalidField", "unnamed", ""],
    ["name with capitals", [], [{ ...model, name: "M" }], "invalidField", "model/M", "name"],
    ["field unknown at the top", [free], [{ ...model, sepc: {} }], "unknownField", "model/m", "sepc"],
    ["field unknown in spec", [free], [edit({ replica: 2 })], "unknownField", "model/m", "spec.replica"],
    [
        "field unknown below spec",
        [],
        [target("t", 2, { link: { speed: 1 } })],
        "unknownField",
        "target/t",
        "spec.link.speed",
    ],
    ["wrong type", [free], [edit({ layers: "8" })], "invalidField", "model/m", "spec.layers"],
    ["value out of range", [free], [edit({ layers: 0 })], "invalidField", "model/m", "spec.layers"],
    ["field missing", [free], [{ ...model, spec: { layers: 8 } }], "invalidField", "model/m", "spec.versions"],
    ["spec missing", [], [{ kind: "service", name: "s" }], "invalidField", "service/s", "spec"],
    ["host not an address", [], [target("t", 2, { host: "box" })], "invalidField", "target/t", "spec.host"],
    [
        "resourceVersion negative",
        [],
        [{ ...service, resourceVersion: -1 }],
        "invalidField",
        "service/s",
        "resourceVersion",
    ],
    ["current not a version", [free], [edit({ current: "v9" })], "missingReference", "model/m", "spec.current"],
    ["version twice", [free], [edit({ versions: ["v1", "v1"] })], "invalidField", "model/m", "spec.versions.1"],
    ["resource twice", [], [service, service], "invalidField", "service/s", "name"],
    ["no memory for a model", [], [model], "insufficientCapacity", "model/m", "spec.replicas"],
    [
        "no memory for more replicas",
        [free],
        [edit({ replicas: 11 })],
        "insufficientCapacity",
        "model/m",
        "spec.replicas",
    ],
    [
        "no memory beside another model",
        [free, edit({ replicas: 10 })],
        [{ ...model, name: "n" }],
        "insufficientCapacity",
        "model/n",
        "spec.replicas",
    ],
    ["adapter of no model", [], [goodSite[7]], "missingReference", "adapter/a", "spec.model"],
    [
        "pin of no model",
        [],
        [target("t", 2, { holds: [pin(0, 7)] })],
        "missingReference",
        "target/t",
        "spec.holds.0.model",
    ],
    [
        "pin of no version",
        [free, model],
        [target("t", 2, { holds: [{ ...pin(0, 7), version: "v2" }] })],
        "missingReference",
        "target/t",
        "spec.holds.0.version",
    ],
    [
        "pin behind the last layer",
        [free, model],
        [target("t", 2, { holds: [pin(0, 8)] })],
        "invalidField",
        "target/t",
        "spec.holds.0.last",
    ],
    [
        "pin that ends before it begins",
        [free, model],
        [target("t", 2, { holds: [pin(4, 3)] })],
        "invalidField",
        "target/t",
        "spec.holds.0.last",
    ],
    [
        "pins overlap on one target",
        [free, model],
        [target("t", 2, { holds: [pin(0, 4), pin(4, 7)] })],
        "layerOverlap",
        "target/t",
        "spec.holds.1.first",
    ],
    [
        "pins larger than memory",
        [free, model],
        [target("t", 2, { holds: [pin(0, 7)], accelerator: { kind: "k", memory: 7_000_000_000 } })],
        "insufficientCapacity",
        "target/t",
        "spec.holds.0",
    ],
    [
        "pins leave a gap",
        [],
        [...goodSite.slice(0, 2), target("t2", 11, { holds: [pin(5, 7)] })],
        "layerGap",
        "target/t1",
        "spec.holds.0",
    ],
    ["pins leave the end", [], goodSite.slice(0, 2), "layerGap", "target/t1", "spec.holds.0"],
    [
        "pins that cover the model only with an overlap",
        [],
        [...goodSite.slice(0, 2), target("t2", 11, { holds: [pin(3, 7)] })],
        "layerOverlap",
        "target/t1",
        "spec.holds.0",
    ],
    ["model shrinks under its pins", goodSite, [edit({ layers: 6 })], "invalidField", "target/t2", "spec.holds.0.last"],
    [
        "version removed under its pins",
        goodSite,
        [edit({ versions: ["v2"], current: "v2" })],
        "missingReference",
        "target/t1",
        "spec.holds.0.version",
    ],
    ["service unknown", [], [target("t", 2, { service: "s" })], "missingReference", "target/t", "spec.service"],
    ["address in use", [free], [target("t", 1, {})], "invalidField", "target/t", "spec.port"],
    ["organisation allows nothing known", [], [goodSite[5]], "missingReference", "organisation/o", "spec.allow.0"],
    ["credential of no organisation", [], [goodSite[6]], "missingReference", "credential/c", "spec.organisation"],
    [
        "caller without organisation",
        [],
        [{ kind: "credential", name: "c", spec: { tokenHash, role: "caller" } }],
        "invalidField",
        "credential/c",
        "spec.organisation",
    ],
    [
        "token used twice",
        goodSite,
        [{ ...goodSite[6] as object, name: "d" }],
        "invalidField",
        "credential/d",
        "spec.tokenHash",
    ],
    [
        "token instead of its hash",
        [organisation],
        [{ kind: "credential", name: "c", spec: { tokenHash: "secret", role: "viewer" } }],
        "invalidField",
        "credential/c",
        "spec.tokenHash",
    ],
    ["placement of no model", [free], [place(["free", 0, 7])], "missingReference", "placement/p", "spec.model"],
    [
        "placement on no target",
        [free, model],
        [place(["gone", 0, 7])],
        "missingReference",
        "placement/p",
        "spec.stages.0.target",
    ],
    ["placement starts late", [free, model], [place(["free", 1, 7])], "layerGap", "placement/p", "spec.stages.0.first"],
    [
        "placement with a gap",
        [...goodSite],
        [place(["t1", 0, 2], ["t2", 4, 7])],
        "layerGap",
        "placement/p",
        "spec.stages.1.first",
    ],
    ["placement ends early", [free, model], [place(["free", 0, 6])], "layerGap", "placement/p", "spec.stages.0.last"],
    [
        "placement with an overlap",
        [...goodSite],
        [place(["t1", 0, 4], ["t2", 4, 7])],
        "layerOverlap",
        "placement/p",
        "spec.stages.1.first",
    ],
    [
        "placement behind the last layer",
        [free, model],
        [place(["free", 0, 9])],
        "invalidField",
        "placement/p",
        "spec.stages.0.last",
    ],
    [
        "placement with a target twice",
        goodSite,
        [place(["t1", 0, 3], ["t1", 4, 7])],
        "invalidField",
        "placement/p",
        "spec.stages.1.target",
    ],
    [
        "stage larger than its target",
        [free, model, target("small", 2, { accelerator: { kind: "k", memory: 3_000_000_000 } })],
        [place(["small", 0, 7])],
        "insufficientCapacity",
        "placement/p",
        "spec.stages.0",
    ],
];

/** Each row: the kind and name of the resource to remove, and a resource that refers to it. */
const referencedResources: readonly [string, string, string][] = [
    ["model", "m", "adapter/a"],
    ["model", "m", "target/t1"],
    ["model", "m", "organisation/o"],
    ["service", "s", "target/t3"],
    ["service", "s", "organisation/o"],
    ["organisation", "o", "credential/c"],
];

for (const [title, before, change, code, resource, path] of badInputs) {
    test(`refuses ${title}`, () => {
        const found = check(site(before), change);
        const match = found.find(one => one.resource === resource && one.path === path);
        assert.equal(match?.code, resourceCodes[code], JSON.stringify(found));
    });
}

for (const [kind, name, holder] of referencedResources) {
    test(`refuses to remove ${kind} ${name} while ${holder} refers to it`, () => {
        const found = validateChanges(site(goodSite), [{ kind: kind as "model", name }]);
        const match = found.find(one => one.message.startsWith(holder));
        assert.equal(match?.code, resourceCodes.stillReferenced);
        assert.equal(match?.resource, `${kind}/${name}`);
    });
}

test("accepts a complete site in one change", () => {
    assert.deepEqual(check(site([]), goodSite), []);
});

test("accepts pins with a gap while a target is free for the placement", () => {
    assert.deepEqual(check(site([free]), goodSite.slice(0, 2)), []);
});

test("removes a model together with all resources that refer to it", () => {
    const keys = ["model/m", "target/t1", "target/t2", "adapter/a", "organisation/o", "credential/c"];
    const changes = keys.map(key => key.split("/")).map(([kind, name]) => ({
        kind: kind as "model",
        name: name ?? "",
    }));
    assert.deepEqual(validateChanges(site(goodSite), changes), []);
});

test("reports all errors of a change", () => {
    const found = check(site([]), [edit({ layers: -1, extra: 1 }), { kind: "service", name: "S", spec: {} }]);
    assert.deepEqual(found.map(one => one.path).sort(), ["name", "spec.extra", "spec.layers"]);
});

function check(before: StaticConfiguration, documents: readonly unknown[]) {
    const parsed = parseAllDesired(documents);
    return parsed.isErr ? parsed.error : validateChanges(before, parsed.value);
}

function site(documents: readonly unknown[]): StaticConfiguration {
    const configuration = new StaticConfiguration();
    const parsed = parseAllDesired(documents);
    assert(parsed.isOk);
    configuration.set(parsed.value.map(one => ({ ...one, resourceVersion: 1 }) as Resource));
    return configuration;
}

function target(name: string, port: number, spec: object) {
    return { kind: "target", name, spec: { host: "127.0.0.1", port, dataCentre: "d", ...spec } };
}

function pin(first: number, last: number) {
    return { model: "m", version: "v1", first, last };
}

function edit(spec: object) {
    return { ...model, spec: { ...model.spec, ...spec } };
}

function place(...stages: [string, number, number][]) {
    const listed = stages.map(([name, first, last]) => ({ target: name, first, last }));
    return { kind: "placement", name: "p", spec: { model: "m", version: "v1", stages: listed, ready: true } };
}
