import { ResourceApi, type ResourceApiOptions, ResourceStore, RevisionState, StoreLog } from "@waxwingspar/config";
import { MemoryTableStore } from "@waxwingspar/stores";
import { ManualClock, seededRandom } from "@waxwingspar/utils";
import { Command } from "commander";
import assert from "node:assert/strict";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { createServer } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test, type TestContext } from "node:test";
import { registerOperatorCommands } from "./registerOperatorCommands.js";

const organisation = `{ "kind": "organisation", "name": "o", "spec": { "allow": ["s"] } }`;
const service = `// The records service.
{ "kind": "service", "name": "s", "spec": { "timeout": 5, }, }`;

async function setUp(t: TestContext, options: Partial<ResourceApiOptions> = {}) {
    const clock = new ManualClock();
    const state = new RevisionState();
    const log = new StoreLog(new MemoryTableStore({ clock }));
    const store = new ResourceStore({ log, state, clock, random: seededRandom(1) });
    const behind: { process: string; revision: number; }[] = [];
    const progress = async (revision: number) => ({ revision, hosts: 3, behindCount: behind.length, behind });
    const node = { state, ready: true, age: 12, progress };
    const api = new ResourceApi({ node, store, clock, allowAnonymous: true, ...options });
    const port = await api.listen();
    assert(port.isOk);
    const folder = await mkdtemp(join(tmpdir(), "operator-"));
    t.after(async () => {
        await api.close();
        await rm(folder, { recursive: true });
    });
    const server = `http://127.0.0.1:${port.value}`;
    const file = async (name: string, text: string) => {
        await writeFile(join(folder, name), text);
        return join(folder, name);
    };
    return { run: (...words: string[]) => runVerb(server, words), file, behind, state, server };
}

/** @param until - The watch ends as soon as the output matches this pattern. */
async function runVerb(server: string, words: readonly string[], until?: RegExp) {
    const written = { output: "", errors: "", code: -1 };
    const program = new Command().exitOverride();
    const ending = new AbortController();
    const write = (text: string) => {
        written.output += text;
        if (until?.test(written.output) === true) {
            ending.abort();
        }
    };
    registerOperatorCommands(program, {
        output: { write, writeError: text => void (written.errors += text) },
        exit: code => void (written.code = code),
        environment: { WAXWINGSPAR_SERVER: server },
        clock: instantClock(),
        signal: ending.signal,
    });
    await program.parseAsync(["node", "waxwingspar", ...words]);
    return written;
}

test("files are applied as one change, and their resources are shown, compared and removed", async t => {
    const { run, file, state } = await setUp(t);
    const all = await file("all.jsonc", `[${service}, ${organisation}]`);
    const applied = await run("apply", "-f", all);
    assert.equal(applied.code, 0, applied.errors);
    assert.match(applied.output, /service\/s +created +1\n[^]*accepted in revision 1/);
    assert.equal((await run("diff", "-f", all)).code, 0);
    const changed = await file("changed.jsonc", service.replace("5", "6"));
    const diff = await run("diff", "-f", changed);
    assert.equal(diff.code, 3);
    assert.match(diff.output, /spec\.timeout: 5 -> 6/);
    assert.equal((await run("apply", "--dry-run", "-f", changed)).code, 0);
    assert.equal(state.revision, 1);
    assert.match((await run("get")).output, /service\/s +1 +yes/);
    const one = JSON.parse((await run("get", "service", "s", "-o", "json")).output) as { resourceVersion: number; };
    assert.equal(one.resourceVersion, 1);
    const held = await run("delete", "service", "s");
    assert.deepEqual([held.code, /error 3009 still-referenced \(service\/s name\)/.test(held.errors)], [1, true]);
    assert.equal((await run("delete", "organisation", "o", "--version", "1")).code, 0);
    assert.equal((await run("delete", "service", "s")).code, 0);
});

test("the output of get can be edited and applied, and a concurrent change is a conflict", async t => {
    const { run, file } = await setUp(t);
    await run("apply", "-f", await file("s.jsonc", service));
    const { output } = await run("get", "service", "s", "-o", "json");
    const edited = await file("edited.json", output.replace(`"timeout": 5`, `"timeout": 8`));
    assert.equal((await run("apply", "-f", edited)).code, 0);
    const late = await run("apply", "-f", edited);
    assert.deepEqual([late.code, /error 3007 conflict/.test(late.errors)], [4, true]);
});

/** Each row: the problem, the file's text, the exit code and the expected report. */
const badFiles: readonly [string, string, number, RegExp][] = [
    ["text that is not JSON", `{ "kind": `, 2, /error 3000 invalid-syntax .*bad\.jsonc\): line 1/],
    [
        "an unknown field",
        `{ "kind": "service", "name": "s", "spec": { "time": 1 } }`,
        2,
        /error 3002 .*service\/s spec\.time\)/,
    ],
    [
        "a wrong type",
        `{ "kind": "service", "name": "s", "spec": { "timeout": "1" } }`,
        2,
        /error 3001 .*spec\.timeout\)/,
    ],
    ["a reference to nothing", organisation, 1, /error 3003 missing-reference \(organisation\/o spec\.allow\.0\)/],
];

for (const [title, text, code, report] of badFiles) {
    test(`a file with ${title} changes nothing`, async t => {
        const { run, file, state } = await setUp(t);
        const good = await file("good.jsonc", `{ "kind": "service", "name": "good", "spec": {} }`);
        const applied = await run("apply", "-f", good, await file("bad.jsonc", text));
        assert.equal(applied.code, code);
        assert.match(applied.errors, report);
        assert.equal(state.revision, 0);
    });
}

test("a missing file, an unreachable server and a wrong token have different exit codes", async t => {
    const { run, file } = await setUp(t, { allowAnonymous: false });
    assert.equal((await run("apply", "-f", "/nonexistent.jsonc")).code, 2);
    assert.equal((await run("get", "--token-file", "/nonexistent")).code, 2);
    const refused = await run("get", "--token-file", await file("token", "wrong\n"));
    assert.deepEqual([refused.code, /error 1001/.test(refused.errors)], [1, true]);
    assert.equal((await runVerb("http://127.0.0.1:1", ["get"])).code, 5);
});

test("status lists the hosts behind and exits with 1 while there are any", async t => {
    const good = await setUp(t);
    assert.equal((await good.run("status")).code, 0);
    const { run, behind } = await setUp(t);
    behind.push({ process: "late-host", revision: 3 });
    const late = await run("status", "--wait", "--timeout", "1");
    assert.deepEqual([late.code, /late-host +3/.test(late.output)], [1, true]);
});

test("a change whose answer was lost is retried with the same idempotency key", async t => {
    const keys: (string | undefined)[] = [];
    const server = createServer((message, response) => {
        keys.push(message.headers["idempotency-key"] as string | undefined);
        if (keys.length < 3) {
            message.socket.destroy();
            return;
        }
        response.end(JSON.stringify({ revision: 1, changeId: "c", dryRun: false, results: [] }));
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    t.after(() => server.close());
    const address = server.address();
    assert(typeof address === "object" && address !== null);
    const applied = await runVerb(`http://127.0.0.1:${address.port}`, ["delete", "service", "s"]);
    assert.equal(applied.code, 0);
    assert.deepEqual([keys.length, new Set(keys).size], [3, 1]);
    assert.notEqual(keys[0], undefined);
});

test("a watch shows changes as they arrive", async t => {
    const { run, file, server } = await setUp(t);
    await run("apply", "-f", await file("s.jsonc", service));
    const watching = runVerb(server, ["watch", "service", "--revision", "0"], /2 removed service\/s\n$/);
    await run("delete", "service", "s");
    const ended = await watching;
    assert.deepEqual([ended.code, ended.output], [0, "1 set service/s\n2 removed service/s\n"]);
});

/** Creates a clock on which every wait ends immediately. */
function instantClock() {
    const clock = new ManualClock();
    const schedule = (callback: () => void, delay: number) => {
        const handle = setImmediate(() => {
            clock.advance(delay);
            callback();
        });
        return { cancel: () => clearImmediate(handle) };
    };
    return { now: () => clock.now(), date: () => clock.date(), schedule };
}
