import { createWorkQueue } from "@waxwingspar/policy";
import { type Hello, type Link, linkPair } from "@waxwingspar/transport";
import { ManualClock } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { LinkWatch } from "../LinkWatch.js";
import { LoadMeter } from "./LoadMeter.js";

const bytesPerSecond = 800;

/** Counts the bytes of all reports received in one minute, given the number of links with open requests. */
async function reportedBytes(linkCount: number): Promise<number> {
    const clock = new ManualClock();
    const queue = createWorkQueue({ clock, slots: 32 });
    const meter = new LoadMeter({
        target: "target-0001",
        clock,
        queue,
        links: new LinkWatch(),
        slots: () => 32,
        interval: 250,
        bytesPerSecond,
    });
    let bytes = 0;
    for (let index = 0; index < linkCount; index++) {
        const pair = linkPair({
            left: { hello: hello("agent", index) },
            right: { hello: hello("entry", index) },
            clock,
        });
        pair.right.onMessage(message => bytes += JSON.stringify(message).length);
        meter.begin(pair.left);
    }
    await clock.advanceAsync(60_000, 250);
    meter.stop();
    return bytes;
}

function hello(role: Hello["role"], index: number): Hello {
    return { type: "hello", protocol: 1, process: `${role}-${index}`, role, incarnation: `${index}`, dataCentre: "a" };
}

test("a single link gets reports at the configured interval", async () => {
    const bytes = await reportedBytes(1);
    assert.ok(bytes > 100 * 240 && bytes < 250 * 240, `${bytes}`);
});

test("many links share a fixed rate of bytes", async () => {
    const bytes = await reportedBytes(60);
    assert.ok(bytes < 60 * bytesPerSecond, `${bytes}`);
    assert.ok(bytes > 0);
});

test("a leaving target is announced on every link immediately", async () => {
    const clock = new ManualClock();
    const links = new LinkWatch();
    const seen: boolean[] = [];
    const pair = linkPair({ left: { hello: hello("agent", 0) }, right: { hello: hello("entry", 0) }, clock });
    pair.right.onMessage(message => seen.push(message.type === "load" && message.load.leaving));
    links.add(pair.left satisfies Link);
    const queue = createWorkQueue({ clock, slots: 32 });
    const meter = new LoadMeter({
        target: "target-0001",
        clock,
        queue,
        links,
        slots: () => 32,
        interval: 250,
        bytesPerSecond: 1,
    });
    meter.leave();
    await clock.advanceAsync(1, 1);
    assert.deepEqual(seen, [true]);
});
