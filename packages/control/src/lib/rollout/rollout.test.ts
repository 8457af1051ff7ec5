import { checkHistory } from "@waxwingspar/history";
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { SiteWorld, type WorldOptions } from "../testing/SiteWorld.js";

const seed = Number(process.env["SEED"] ?? Date.now() % 1_000_000_007);
const numRuns = Number(process.env["RUNS"] ?? 60);

const world = fc.record({
    targets: fc.integer({ min: 8, max: 12 }),
    memory: fc.constantFrom(6e9, 10e9),
    seed: fc.nat(),
});

const event = fc.oneof(
    { weight: 4, arbitrary: fc.record({ kind: fc.constant("wait" as const), time: fc.integer({ min: 1, max: 40 }) }) },
    { weight: 2, arbitrary: fc.record({ kind: fc.constantFrom("die", "restart", "restartAgent"), target: fc.nat() }) },
    { weight: 2, arbitrary: fc.record({ kind: fc.constantFrom("pause", "resume", "resume", "down", "up", "up") }) },
    { weight: 2, arbitrary: fc.record({ kind: fc.constantFrom("lostBefore", "lostAfter", "late", "lostWrite") }) },
    {
        weight: 1,
        arbitrary: fc.record({ kind: fc.constant("version" as const), version: fc.constantFrom("v1", "v2") }),
    },
);
type Event = typeof event extends fc.Arbitrary<infer T> ? T : never;

function options(
    { targets, memory, seed: worldSeed }: { targets: number; memory: number; seed: number; },
): WorldOptions {
    return { targets, memory, seed: worldSeed, model: { layers: 8, replicas: 4 }, plan: { capacityShare: 0.7 } };
}

function apply(site: SiteWorld, step: Event): void {
    if (step.kind === "version" && "version" in step) {
        site.setModel({ current: step.version });
        return;
    }
    if ("target" in step) {
        const target = [...site.targets.values()][step.target % site.targets.size]!;
        if (step.kind === "die") {
            target.die();
        }
        else {
            target.restart(step.kind === "restartAgent");
        }
        return;
    }
    const paused = site.holders.find(holder => holder.paused);
    const actions: Record<string, () => unknown> = {
        pause: () => site.holder !== undefined && site.pause(site.holder),
        resume: () => paused !== undefined && site.resume(paused),
        down: () => site.store.up = false,
        up: () => site.store.up = true,
        lostWrite: () => site.store.faults.push({ effect: "now", answer: "lost" }),
    };
    const action = actions[step.kind] ?? (() => site.messageFaults.push(step.kind as "late"));
    action();
}

/** Ends every fault and runs the site until it has settled. */
async function settle(site: SiteWorld): Promise<void> {
    site.store.up = true;
    site.store.faults.length = 0;
    site.messageFaults.length = 0;
    site.holders.forEach(holder => site.resume(holder));
    for (const target of site.targets.values()) {
        if (!target.alive) {
            target.restart(false);
        }
    }
    await site.run(240_000);
}

function assertSafe(site: SiteWorld): void {
    assert.deepEqual(site.violations, []);
    const interrupted = [...site.targets.values()].map(target => target.interrupted);
    assert.ok(interrupted.every(count => count === 0), `interrupted ${interrupted.join()}`);
    const { violations } = checkHistory(site.lines);
    assert.deepEqual(violations.filter(({ rule }) => rule === "orders"), []);
}

/** Checks that every target holds the layers of its placements, and no other model version. */
async function assertTidy(site: SiteWorld): Promise<void> {
    for (const [name, target] of site.targets) {
        const wanted = site.all.flatMap(({ spec }) =>
            spec.stages.filter(stage => stage.target === name).map(stage => ({ version: spec.version, stage }))
        );
        for (const { version, stage } of wanted) {
            assert.ok(await target.holds(version, stage), `${name} lacks ${version} ${stage.first}-${stage.last}`);
        }
        const { held } = await target.info();
        const versions = new Set(wanted.map(({ version }) => version));
        assert.deepEqual(new Set(held.map(({ version }) => version)), versions, name);
    }
}

test("a site settles after any faults, and nothing breaks on the way", async context => {
    context.diagnostic(`seed ${seed}`);
    let steady = 0;
    let orders = 0;
    const property = fc.asyncProperty(
        world,
        fc.array(event, { minLength: 5, maxLength: 30 }),
        async (start, events) => {
            const site = new SiteWorld(options(start));
            await site.run(20_000);
            for (const step of events) {
                apply(site, step);
                await site.run("time" in step ? step.time * 1000 : 500);
            }
            await settle(site);
            assertSafe(site);
            await assertTidy(site);
            assert.ok(site.ready.length >= 3, `${site.ready.length} ready`);
            const isSteady = site.holder?.duty.status.rollouts.get("m") === "steady";
            steady += isSteady ? 1 : 0;
            if (!isSteady) {
                const { rollouts, pipelines } = site.holder?.duty.status ?? {};
                const states = [...rollouts?.values() ?? [], ...pipelines?.values() ?? []];
                context.diagnostic(
                    `not steady: ${states.join()} of ${JSON.stringify(start)} ${JSON.stringify(events)}`,
                );
            }
            orders += site.lines.length;
            if (isSteady) {
                assert.deepEqual(
                    site.all.map(({ spec }) => [spec.version, spec.ready]),
                    Array(4).fill([site.model.current, true]),
                );
            }
        },
    );
    await fc.assert(property, {
        seed,
        numRuns,
        endOnFailure: process.env["SHRINK"] === undefined,
    });
    context.diagnostic(`${steady} of ${numRuns} steady, ${orders} lines of history`);
    assert.ok(steady >= numRuns * 0.9, `only ${steady} of ${numRuns} steady`);
});
