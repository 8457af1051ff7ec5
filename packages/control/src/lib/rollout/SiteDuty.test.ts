import { checkHistory } from "@waxwingspar/history";
import assert from "node:assert/strict";
import { test } from "node:test";
import { type MessageFault, SiteWorld, type WorldOptions } from "../testing/SiteWorld.js";

const beside: WorldOptions = {
    targets: 10,
    memory: 10e9,
    model: { layers: 8, replicas: 4 },
    plan: { spareShare: 0.2 },
};
const tight: WorldOptions = {
    targets: 8,
    memory: 6e9,
    model: { layers: 8, replicas: 4 },
    plan: { capacityShare: 0.7 },
};

async function deployed(options: WorldOptions): Promise<SiteWorld> {
    const site = new SiteWorld(options);
    await site.run(30_000);
    assert.equal(site.capacity(), 4);
    return site;
}

function assertSafe(site: SiteWorld): void {
    assert.deepEqual(site.violations, []);
    assert.ok([...site.targets.values()].every(({ interrupted }) => interrupted === 0));
    assert.deepEqual(checkHistory(site.lines).violations.filter(({ rule }) => rule === "orders"), []);
}

/** Returns the stages of all ready pipelines, without the placement names. */
function layout(site: SiteWorld): string[] {
    const stages = site.ready.map(({ spec }) =>
        `${spec.version} ${spec.stages.map(({ target, first, last }) => `${target}:${first}-${last}`).join(" ")}`
    );
    return stages.sort();
}

test("another holder continues from any step and reaches the same result", async () => {
    const undisturbed = await deployed(beside);
    undisturbed.setModel({ current: "v2" });
    await undisturbed.run(90_000);
    assert.ok(layout(undisturbed).every(stages => stages.startsWith("v2")));
    for (let step = 0; step < 24; step++) {
        const site = await deployed(beside);
        site.setModel({ current: "v2" });
        await site.run(step * 500);
        const holder = site.holder;
        assert.ok(holder);
        if (step % 2 === 0) {
            void holder.runner.stop();
        }
        else {
            site.pause(holder);
        }
        await site.run(90_000);
        site.resume(holder);
        await site.run(10_000);
        assert.deepEqual(layout(site), layout(undisturbed), `step ${step}`);
        assertSafe(site);
    }
});

test("a rollout can be rolled back at every step", async () => {
    for (const options of [beside, tight]) {
        for (let step = 1; step < 30; step++) {
            const site = await deployed({ ...options, seed: step });
            site.setModel({ current: "v2" });
            await site.run(step * 1000);
            site.setModel({ current: "v1" });
            await site.run(150_000);
            assert.equal(site.capacity(), 4, `step ${step}`);
            assert.ok(site.all.every(({ spec }) => spec.version === "v1" && spec.ready), `step ${step}`);
            assertSafe(site);
        }
    }
});

test("orders delayed past a change of holder are refused", async () => {
    for (let seed = 1; seed <= 8; seed++) {
        const site = await deployed({ ...beside, seed });
        site.setModel({ current: "v2" });
        await site.run(500);
        site.messageFaults.push(...Array<MessageFault>(30).fill("late"));
        await site.run(3_000);
        site.pause(site.holder!);
        site.messageFaults.length = 0;
        // The next holder sends different orders, so that the delayed ones are not repeats of them.
        site.setModel({ current: "v1" });
        site.setAdapters(["polite"]);
        await site.run(60_000);
        const fences = site.lines.flatMap(({ body }) => body.event === "order.applied" ? [body.fence] : []);
        assert.equal(new Set(fences).size, 2);
        assertSafe(site);
    }
});

test("a delayed unload never affects a pipeline that has become ready", async () => {
    for (let seed = 1; seed <= 8; seed++) {
        const site = await deployed({ ...tight, seed, faultless: true });
        site.setModel({ current: "v2" });
        site.orderFaults.push(...Array<MessageFault>(4).fill("late"));
        while (site.orderFaults.length > 2) {
            await site.run(500);
        }
        site.setModel({ current: "v1" });
        for (let second = 0; second < 60; second++) {
            await site.run(1_000);
            assert.ok(await site.isWholeSite(), `seed ${seed}, second ${second}`);
        }
        assert.equal(site.capacity(), 4);
        assertSafe(site);
    }
});

test("a change delayed past a change of holder is refused", async () => {
    const site = await deployed(beside);
    site.setModel({ current: "v2" });
    while (!site.ready.some(({ spec }) => spec.version === "v2")) {
        await site.run(500);
    }
    // The next change removes an old pipeline, which the next holder expects to keep.
    site.changeFaults.push("late");
    while (site.changeFaults.length > 0) {
        await site.run(500);
    }
    site.pause(site.holder!);
    site.setModel({ current: "v1" });
    await site.run(90_000);
    assert.equal(site.capacity(), 4);
    assert.ok(site.lowestCapacity >= 4, `capacity fell to ${site.lowestCapacity}`);
    assertSafe(site);
});

test("a new holder whose configuration lags changes nothing until it has caught up", async () => {
    const site = await deployed(beside);
    const first = site.holder!;
    site.holders.filter(holder => holder !== first).forEach(holder => holder.lag = 90_000);
    site.setModel({ current: "v2" });
    await site.run(40_000);
    assert.ok(layout(site).every(stages => stages.startsWith("v2")));
    await first.runner.stop();
    for (let second = 0; second < 90; second++) {
        await site.run(1_000);
        assert.equal(site.capacity(), 4);
        assert.ok(await site.isWholeSite());
    }
    assert.ok(site.holder !== undefined && site.holder !== first);
    assertSafe(site);
});

test("nothing is unloaded before its removal has been accepted", async () => {
    const site = await deployed(beside);
    site.setModel({ current: "v2" });
    while (!site.ready.some(({ spec }) => spec.version === "v2")) {
        await site.run(500);
    }
    site.refusesWrites = true;
    await site.run(60_000);
    assert.ok(await site.isWholeSite());
    site.refusesWrites = false;
    await site.run(60_000);
    assert.deepEqual(new Set(site.all.map(({ spec }) => spec.version)), new Set(["v2"]));
    assertSafe(site);
});

test("a version that cannot be loaded does not reduce capacity", async () => {
    const site = await deployed(beside);
    site.targets.forEach(target => target.failsLoads = true);
    site.setModel({ current: "v2" });
    await site.run(120_000);
    assert.equal(site.capacity(), 4);
    assert.ok(site.ready.every(({ spec }) => spec.version === "v1"));
    site.setModel({ current: "v1" });
    await site.run(20_000);
    assert.equal(site.holder?.duty.status.rollouts.get("m"), "steady");
    assertSafe(site);
});

test("only the lost stage of a pipeline is replaced, and nothing changes when a whole site is lost", async () => {
    const site = await deployed(beside);
    const before = layout(site);
    site.targets.get("t00")!.die();
    await site.run(30_000);
    const moved = layout(site).filter(stages => !before.includes(stages));
    assert.equal(moved.length, 1);
    assert.match(moved[0]!, /^v1 t0[89]:0-3 t04:4-7$/);
    const names = site.all.map(({ name, resourceVersion }) => `${name}@${resourceVersion}`);
    site.targets.forEach(target => target.die());
    await site.run(120_000);
    assert.deepEqual(site.all.map(({ name, resourceVersion }) => `${name}@${resourceVersion}`), names);
    assertSafe(site);
});

test("adapters and roles follow the configuration", async () => {
    const site = await deployed(beside);
    const adapters = async () => {
        const infos = await Promise.all([...site.targets.values()].map(target => target.info()));
        return infos.map(({ role, held }) => `${role} ${held.map(range => range.adapters.join()).join()}`).sort();
    };
    site.setAdapters(["polite"]);
    await site.run(30_000);
    assert.deepEqual(await adapters(), [...Array<string>(2).fill("idle "), ...Array<string>(8).fill("serving polite")]);
    site.setAdapters([]);
    await site.run(30_000);
    assert.deepEqual(await adapters(), [...Array<string>(2).fill("idle "), ...Array<string>(8).fill("serving ")]);
});

test("a target that refuses a version is not used for it", async () => {
    const site = new SiteWorld(beside);
    site.targets.get("t00")!.failsLoads = true;
    await site.run(200_000);
    assert.equal(site.capacity(), 4);
    assert.ok(site.all.every(({ spec }) => spec.ready && spec.stages.every(({ target }) => target !== "t00")));
    assertSafe(site);
});
