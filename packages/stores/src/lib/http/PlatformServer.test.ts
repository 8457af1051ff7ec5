import { ManualClock, type Outcome, platformCodes, SystemClock } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { createServer, type Server } from "node:net";
import { type AddressInfo } from "node:net";
import test, { type TestContext } from "node:test";
import { MemoryLiveList } from "../memory/MemoryLiveList.js";
import { MemoryObjectStore } from "../memory/MemoryObjectStore.js";
import { MemoryTableStore } from "../memory/MemoryTableStore.js";
import { MemoryWeightStore } from "../memory/MemoryWeightStore.js";
import { HttpLiveList } from "./HttpLiveList.js";
import { HttpObjectStore } from "./HttpObjectStore.js";
import { HttpTableStore } from "./HttpTableStore.js";
import { HttpWeightStore } from "./HttpWeightStore.js";
import { PlatformConnection } from "./PlatformConnection.js";
import { PlatformServer } from "./PlatformServer.js";

async function setUp(t: TestContext) {
    const clock = new SystemClock();
    const table = new MemoryTableStore({ clock });
    const server = new PlatformServer({
        table,
        objects: new MemoryObjectStore({ clock }),
        live: new MemoryLiveList({ clock: new ManualClock() }),
        weights: new MemoryWeightStore({ clock, layerSize: model => model === "m" ? 10 : undefined, rate: 5 }),
        maxBodyBytes: 10_000,
    });
    const origin = await server.listen();
    const connection = new PlatformConnection({ origin });
    t.after(async () => {
        await connection.close();
        await server.close();
    });
    return { connection, table, store: new HttpTableStore(connection), origin };
}

function codeOf(outcome: Outcome<unknown>): number | undefined {
    return outcome.isErr ? outcome.error.code.number : undefined;
}

const create = { writeId: "1", conditions: [{ key: "a", version: 0 }], writes: [{ key: "a", value: { b: [1] } }] };

test("transactions, reads and scans pass over HTTP", async t => {
    const { store } = await setUp(t);
    const versions = (await store.commit(create)).unwrapOr(undefined);
    assert.deepEqual((await store.get("a")).unwrapOr(undefined), {
        key: "a",
        value: { b: [1] },
        version: versions?.["a"],
    });
    assert.equal(codeOf(await store.commit({ ...create, writeId: "2" })), platformCodes.conditionFailed.number);
    assert.equal((await store.scan("", "", 9)).unwrapOr([]).length, 1);
    assert.deepEqual((await store.findCommit("1")).unwrapOr(undefined), versions);
    assert.equal((await store.findCommit("2")).unwrapOr({}), undefined);
    const deletion = { writeId: "3", conditions: [], writes: [{ key: "a" }] };
    assert.ok((await store.commit(deletion)).isOk);
    assert.equal((await store.get("a")).unwrapOr(undefined)?.version, 0);
});

test("every response reports the era of the table service, including a refusal", async t => {
    const { store, table } = await setUp(t);
    assert.ok((await store.get("a")).isOk);
    assert.equal(store.era, 0);
    table.saveCopy()();
    assert.equal(store.era, 0);
    assert.ok((await store.commit({ ...create, conditions: [{ key: "a", version: 7 }] })).isErr);
    assert.equal(store.era, 1);
});

test("objects, hosts and weights pass over HTTP", async t => {
    const { connection } = await setUp(t);
    const objects = new HttpObjectStore(connection);
    await objects.put("x/1", Uint8Array.of(0, 255));
    assert.deepEqual((await objects.get("x/1")).unwrapOr(undefined), Uint8Array.of(0, 255));
    assert.deepEqual((await objects.list("x/")).unwrapOr([]), ["x/1"]);
    await objects.delete("x/1");
    assert.ok((await objects.get("x/1")).isOk);
    const host = { process: "p", host: "127.0.0.1", port: 1, dataCentre: "d", region: "r" };
    await connection.call("/admin/hosts/set", { ...host, role: "agent", state: "live" });
    assert.equal((await new HttpLiveList(connection).read()).unwrapOr([])[0]?.process, "p");
    const weights = new HttpWeightStore(connection);
    assert.equal((await weights.size("m", "1", 2, 4)).unwrapOr(0), 30);
    assert.ok((await weights.size("none", "1", 2, 4)).isErr);
});

test("a lost response is reported as unknown, and the transaction's result can be looked up", async t => {
    const { connection, store } = await setUp(t);
    await connection.call("/admin/faults", { service: "table", faults: { losesAfter: 1 } });
    assert.equal(codeOf(await store.commit(create)), platformCodes.storeUnknown.number);
    assert.ok((await store.findCommit("1")).unwrapOr(undefined));
});

test("refusals and closed ports are reported as unavailable", async t => {
    const { connection, store } = await setUp(t);
    await connection.call("/admin/faults", { service: "table", faults: { down: true } });
    assert.equal(codeOf(await store.commit(create)), platformCodes.storeUnavailable.number);
    const origin = await closedOrigin();
    const closed = new PlatformConnection({ origin });
    t.after(() => closed.close());
    assert.equal(codeOf(await new HttpTableStore(closed).commit(create)), platformCodes.storeUnavailable.number);
});

test("a closed connection or an invalid response leaves the outcome unknown", async t => {
    for (
        const answer of [
            "",
            "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}",
            "HTTP/1.1 503 X\r\ncontent-length: 0\r\n\r\n",
        ]
    ) {
        const server = createServer(socket => socket.once("data", () => socket.end(answer)));
        const origin = await listen(server);
        const connection = new PlatformConnection({ origin, answerTimeout: 2000 });
        t.after(() => connection.close().then(() => server.close()));
        assert.equal(codeOf(await new HttpTableStore(connection).commit(create)), platformCodes.storeUnknown.number);
    }
});

test("bad requests are refused", async t => {
    const { origin, table } = await setUp(t);
    const post = async (path: string, body: string) => (await fetch(origin + path, { method: "POST", body })).status;
    assert.equal(await post("/table/commit", "{}"), 400);
    assert.equal(await post("/table/commit", "not JSON"), 400);
    assert.equal(await post("/constructor", "{}"), 404);
    assert.equal(await post("/admin/faults", JSON.stringify({ service: "table", faults: { typo: 1 } })), 400);
    assert.equal(await post("/table/commit", "x".repeat(20_000)), 413);
    assert.equal(table.faults.arrivals.write, 0);
});

function listen(server: Server): Promise<string> {
    return new Promise(resolve => {
        server.listen(0, "127.0.0.1", () => resolve(`http://127.0.0.1:${(server.address() as AddressInfo).port}`));
    });
}

async function closedOrigin(): Promise<string> {
    const server = createServer();
    const origin = await listen(server);
    await new Promise(resolve => server.close(resolve));
    return origin;
}
