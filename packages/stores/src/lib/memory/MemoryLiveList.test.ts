import { ManualClock } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import test from "node:test";
import { type LiveHost } from "../LiveList.js";
import { MemoryLiveList } from "./MemoryLiveList.js";

const host: LiveHost = {
    process: "entry-1",
    role: "entry",
    host: "127.0.0.1",
    port: 1,
    dataCentre: "a",
    region: "r",
    state: "live",
};

test("the list shows changes only after its lag", async () => {
    const clock = new ManualClock();
    const list = new MemoryLiveList({ clock, lag: 1000 });
    const states = async () => (await list.read()).unwrapOr([]).map(({ state }) => state);
    list.set(host);
    assert.deepEqual(await states(), []);
    clock.advance(1000);
    list.set({ ...host, state: "leaving" });
    assert.deepEqual(await states(), ["live"]);
    clock.advance(1000);
    assert.deepEqual(await states(), ["leaving"]);
    list.remove("entry-1");
    clock.advance(1000);
    assert.deepEqual(await states(), []);
});
