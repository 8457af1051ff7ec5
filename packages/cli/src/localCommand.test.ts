import { referenceAnswer } from "@waxwingspar/engine";
import { SystemClock } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { streamAnswer } from "./lib/demo/streamAnswer.js";
import { freePorts } from "./lib/testing/freePorts.js";
import { SpawnedCommand } from "./lib/testing/SpawnedCommand.js";

async function startLocal(t: TestContext) {
    const [callers = 0, operators = 0] = await freePorts(2);
    const command = new SpawnedCommand(
        "local",
        "--callers",
        `127.0.0.1:${callers}`,
        "--operators",
        `127.0.0.1:${operators}`,
    );
    t.after(() => command.kill());
    const origin = `http://127.0.0.1:${callers}`;
    const api = `http://127.0.0.1:${operators}`;
    await command.waitFor(`${api}/readyz`);
    return { command, origin, api };
}

test("SIGTERM lets a stream end whole, and exits with 0", async t => {
    const { command, origin } = await startLocal(t);
    const prompt = "Which adhesive for the baffle?";
    const question = { model: "demo", prompt, maxTokens: 40 };
    const answer = await streamAnswer({
        ...question,
        origin,
        clock: new SystemClock(),
        requestId: "r1",
        onText: () => void command.terminate(),
    });
    const expected = referenceAnswer({ ...question, version: "v1", layers: 12 });
    assert.equal(answer.text, expected.text);
    assert.equal(answer.whole, true);
    assert.equal(await command.end(), 0);
});

test("a work order runs once under its key, and is listed with its body", async t => {
    const { origin } = await startLocal(t);
    const url = `${origin}/services/records/work-orders`;
    const publish = async (key: string, part: string): Promise<unknown> => {
        const headers = { "Idempotency-Key": key };
        return (await fetch(url, { method: "POST", headers, body: JSON.stringify({ part }) })).json();
    };
    const answers = await Promise.all([publish("a", "seal"), publish("a", "seal"), publish("a", "seal")]);
    assert.deepEqual(answers, [{ run: 1 }, { run: 1 }, { run: 1 }]);
    assert.deepEqual(await publish("b", "hose"), { run: 2 });
    const listed = await (await fetch(url)).json() as { run: number; body: unknown; }[];
    assert.deepEqual(listed.map(({ run, body }) => ({ run, body })), [
        { run: 1, body: { part: "seal" } },
        { run: 2, body: { part: "hose" } },
    ]);
});

test("operators can read metrics and change resources", async t => {
    const { origin, api } = await startLocal(t);
    await (await fetch(`${origin}/v1/models`)).text();
    assert.match(await (await fetch(`${api}/metrics`)).text(), /# TYPE waxwingspar_requests_total counter/);
    const spec = { layers: 12, versions: ["v1"], current: "v1" };
    const path = `${api}/v1/resources/model/second`;
    const put = await fetch(path, { method: "PUT", body: JSON.stringify({ kind: "model", name: "second", spec }) });
    assert.ok(put.ok, await put.text());
    const models = await (await fetch(`${origin}/v1/models`)).json() as { data: { id: string; }[]; };
    assert.deepEqual(models.data.map(({ id }) => id).sort(), ["demo", "second"]);
});

test("the command fails with a message if a port is in use", async t => {
    const { origin } = await startLocal(t);
    const [operators = 0] = await freePorts(1);
    const port = new URL(origin).port;
    const other = new SpawnedCommand(
        "local",
        "--callers",
        `127.0.0.1:${port}`,
        "--operators",
        `127.0.0.1:${operators}`,
    );
    t.after(() => other.kill());
    assert.equal(await other.end(), 1);
    assert.match(other.errors, /^local: 5000 not-connected\n.*EADDRINUSE/);
});

test("an invalid command line exits with 2 and names what was expected", async () => {
    const cases: [string[], RegExp][] = [
        [["local", "--callers", "localhost"], /expected an IP address and a port, such as 127.0.0.1:8080/],
        [["local", "--callers", "127.0.0.1:70000"], /expected an IP address and a port/],
        [["locale"], /unknown command 'locale'/],
        [["check", "settings", "/nonexistent.jsonc"], /nonexistent.jsonc: cannot be read/],
        [["entry", "/nonexistent.jsonc"], /nonexistent.jsonc: cannot be read/],
    ];
    for (const [args, expected] of cases) {
        const command = new SpawnedCommand(...args);
        assert.equal(await command.end(), 2, args.join(" "));
        assert.match(command.errors, expected);
    }
});
