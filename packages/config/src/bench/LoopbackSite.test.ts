import { sleep } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { LoopbackSite } from "./LoopbackSite.js";

const timeout = 20_000;

test("over real links a change is in force everywhere, and the progress reports it", async () => {
    const site = new LoopbackSite();
    await site.start(8, 2, 0);
    const operator = site.processes[3]!;
    const revision = await site.change(operator);
    const end = site.clock.now() + timeout;
    let progress = await operator.node.progress(revision);
    while ((progress.hosts < 8 || progress.behindCount > 0) && site.clock.now() < end) {
        await sleep(site.clock, 50);
        progress = await operator.node.progress(revision);
    }
    assert.deepEqual([progress.hosts, progress.behindCount, progress.behind], [8, 0, []]);
    const digests = new Set(site.processes.map(one => one.node.state.digest));
    assert.equal(digests.size, 1);
    await site.stop();
});
