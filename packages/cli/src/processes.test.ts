import { referenceAnswer } from "@waxwingspar/engine";
import { SystemClock } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { randomUUID } from "node:crypto";
import { mkdtemp, readFile, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test, type TestContext } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { streamAnswer } from "./lib/demo/streamAnswer.js";
import { freePorts } from "./lib/testing/freePorts.js";
import { SpawnedCommand } from "./lib/testing/SpawnedCommand.js";

const examples = new URL("../examples/", import.meta.url);

const question = { model: "demo", prompt: "What drifts?", maxTokens: 30 };
const maxAttempts = 240;
/** Milliseconds between two requests while the model is not served. */
const retryInterval = 250;

/** The ports that the example files use. */
const examplePorts = [7000, 7001, 7002, 8080, 8081, 8101, 8102, 9000, 9101, 9102];

/** Prepares a temporary folder for copies of the example files, with free ports and a history file per daemon. */
async function copyExamples(t: TestContext) {
    const folder = await mkdtemp(join(tmpdir(), "waxwingspar-test-"));
    t.after(() => rm(folder, { recursive: true }));
    const free = await freePorts(examplePorts.length);
    const portFor = new Map(examplePorts.map((port, index) => [String(port), String(free[index])]));
    const replacePorts = (text: string) => text.replace(/\b\d{4}\b/g, digits => portFor.get(digits) ?? digits);
    const copy = async (name: string, history: boolean): Promise<string> => {
        const text = replacePorts(await readFile(new URL(`${name}.jsonc`, examples), "utf8"));
        const path = join(folder, `${name}.jsonc`);
        const field = `"history": { "file": ${JSON.stringify(join(folder, `${name}.jsonl`))} },`;
        await writeFile(path, history ? text.replace("\"name\"", () => `${field} "name"`) : text);
        return path;
    };
    return { folder, copy, port: (example: number) => portFor.get(String(example)) ?? "" };
}

/** Starts the example site and waits until the model is served. */
async function startExampleSite(t: TestContext) {
    const { folder, copy, port } = await copyExamples(t);
    const spawned = (...args: string[]) => {
        const command = new SpawnedCommand(...args);
        t.after(() => command.kill());
        return command;
    };
    const standIns = [
        spawned("platform", await copy("platform", false)),
        spawned("engine", await copy("engine-1", false)),
        spawned("engine", await copy("engine-2", false)),
    ];
    const agents = [spawned("agent", await copy("agent-1", true)), spawned("agent", await copy("agent-2", true))];
    const entry = spawned("entry", await copy("entry", true));
    await agents[0]?.waitFor(`http://127.0.0.1:${port(8101)}/readyz`);
    await agents[1]?.waitFor(`http://127.0.0.1:${port(8102)}/readyz`);
    await entry.waitFor(`http://127.0.0.1:${port(8081)}/readyz`);
    const origin = `http://127.0.0.1:${port(8080)}`;
    const ask = (onText?: () => void) =>
        streamAnswer({ ...question, origin, clock: new SystemClock(), requestId: randomUUID(), onText });
    // The agents hold no layers at first: the control duty has to place the model and order the loading of its layers.
    for (let attempt = 0; (await ask()).text === ""; attempt++) {
        assert.ok(attempt < maxAttempts, "the model is not served");
        await delay(retryInterval);
    }
    return { folder, spawned, entry, agents, standIns, ask };
}

test("a site of separate processes answers, stops gracefully, and its history holds", async t => {
    const { folder, spawned, entry, agents, standIns, ask } = await startExampleSite(t);
    const answer = await ask(() => void entry.terminate());
    assert.equal(answer.text, referenceAnswer({ ...question, version: "v1", layers: 12 }).text);

    const codes = [await entry.end(), ...await Promise.all([...agents, ...standIns].map(one => one.terminate()))];
    assert.deepEqual(codes, [0, 0, 0, 0, 0, 0]);
    const files = ["entry", "agent-1", "agent-2"].map(name => join(folder, `${name}.jsonl`));
    const check = spawned("check", "history", "--base-revision", "1", ...files);
    assert.equal(await check.end(), 0, check.output);
    assert.match(check.output, /60 tokens delivered/);
    assert.match(check.output, /layers +2 held +0 violated +0 undecided/);
    assert.match(check.output, /orders +[1-9]\d* held +0 violated +0 undecided/);
});

test("wrong settings end a daemon with code 2 before it does anything", async t => {
    const { copy } = await copyExamples(t);
    const path = await copy("entry", false);
    const text = await readFile(path, "utf8");
    await writeFile(path, text.replace("\"callers\"", "\"caller\""));
    const entry = new SpawnedCommand("entry", path);
    t.after(() => entry.kill());
    assert.equal(await entry.end(), 2);
    assert.equal(entry.output, "");
    assert.ok(entry.errors.includes(`${path}:7: caller: expected no such field`), entry.errors);
    assert.ok(entry.errors.includes("callers: expected object, found nothing"), entry.errors);
});
