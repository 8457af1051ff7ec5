import { resource, StaticConfiguration } from "@waxwingspar/config";
import { ManualClock, seededRandom } from "@waxwingspar/utils";
import { performance } from "node:perf_hooks";
import { DutyRunner } from "../lib/leases/DutyRunner.js";
import { planSite } from "../lib/rollout/planSite.js";
import { siteModels } from "../lib/rollout/siteModels.js";
import { type SitePlacement, type SiteTarget, type SiteView } from "../lib/rollout/SiteView.js";
import { ScriptedStore } from "../lib/testing/ScriptedStore.js";
import { SiteWorld } from "../lib/testing/SiteWorld.js";

/**
 * Measures the duty of a data centre: processor time of one step by number of replicas, store calls, and, on virtual
 * time, the time from the loss of a target until its pipeline is ready again. Run with `node dist/bench/siteBench.js`.
 */

const layers = 80;
const stages = 8;

function siteView(replicas: number, version: string): SiteView {
    const configuration = new StaticConfiguration();
    const names = Array.from({ length: replicas * stages + Math.ceil(replicas / 4) }, (_, index) => `t${index}`);
    const target = (name: string) => ({
        host: "127.0.0.1",
        port: 1,
        dataCentre: "a",
        region: "local",
        accelerator: { kind: "generic", memory: 80e9, speed: 1 },
        link: { bandwidth: 1e9, latency: 0.1 },
        holds: [],
        slots: 32,
        checksFence: false,
        name,
    });
    configuration.set([
        resource("model", "m", {
            layers,
            versions: ["v1", "v2"],
            current: version,
            layerBytes: 1.75e9,
            activationBytes: 16_384,
            replicas,
            firstTokenBound: 540,
            tokenBound: 72,
            contextTokens: 8192,
        }),
        ...names.map(name => resource("target", name, target(name))),
    ]);
    const placements = Array.from({ length: replicas }, (_, index): SitePlacement => ({
        name: `m.a.${index}`,
        resourceVersion: 1,
        spec: {
            model: "m",
            version: "v1",
            ready: true,
            stages: Array.from({ length: stages }, (_, stage) => (
                { target: `t${index * stages + stage}`, first: stage * 10, last: stage * 10 + 9 }
            )),
        },
    }));
    const targets = new Map(names.map((name): [string, SiteTarget] => [
        name,
        { name, spec: target(name), alive: true, present: true, settled: false, refused: [] },
    ]));
    return { dataCentre: "a", models: siteModels(configuration, "a"), adapters: [], targets, placements };
}

function measurePlan(replicas: number, version: string): void {
    const view = siteView(replicas, version);
    const times: number[] = [];
    for (let round = 0; round < 12; round++) {
        const started = performance.now();
        planSite(view);
        times.push(performance.now() - started);
    }
    times.sort((a, b) => a - b);
    const state = planSite(view).rollouts.get("m") ?? "none";
    process.stdout.write(
        `${replicas} | ${view.targets.size} | ${state} | ${times[6]!.toFixed(1)} | ${times[11]!.toFixed(1)}\n`,
    );
}

async function measureRepair(layerGigabytes: number, rateGigabytes: number): Promise<void> {
    const site = new SiteWorld({
        targets: 10,
        memory: 10 * layerGigabytes * 1e9,
        loadRate: rateGigabytes * 1e9,
        model: { layers: 8, replicas: 4, layerBytes: layerGigabytes * 1e9 },
        plan: { spareShare: 0.2 },
        faultless: true,
    });
    while (site.capacity() < 4) {
        await site.run(500);
    }
    await site.run(30_000);
    const lost = site.ready[0]!.spec.stages[0]!;
    const started = site.clock.now();
    site.targets.get(lost.target)!.die();
    const isRepaired = () =>
        site.ready.length === 4 && !site.ready.some(({ spec }) => (
            spec.stages.some(({ target }) => target === lost.target)
        ));
    while (!isRepaired()) {
        await site.run(500);
    }
    const bytes = (lost.last - lost.first + 1) * layerGigabytes;
    const load = bytes / rateGigabytes;
    const total = (site.clock.now() - started) / 1000;
    process.stdout.write(
        `${bytes} | ${rateGigabytes} | ${load.toFixed(1)} | ${total.toFixed(1)} | ${(total - load).toFixed(1)}\n`,
    );
}

async function measureStore(label: string, prepare: (site: SiteWorld) => void): Promise<void> {
    const minutes = 10;
    const site = new SiteWorld({
        targets: 10,
        memory: 10e9,
        model: { layers: 8, replicas: 4 },
        plan: { spareShare: 0.2 },
        faultless: true,
    });
    await site.run(60_000);
    site.store.reads = 0;
    site.store.writes = 0;
    const revision = site.revision;
    prepare(site);
    await site.run(minutes * 60_000);
    const perMinute = (count: number) => (count / minutes).toFixed(1);
    const changes = site.revision - revision;
    process.stdout.write(`${label} | ${perMinute(site.store.reads)} | ${perMinute(site.store.writes)} | ${changes}\n`);
}

/** Measures the milliseconds from the pause of a holder until another process holds the duty. */
async function takeoverTime(seed: number): Promise<number> {
    const site = new SiteWorld({ targets: 8, memory: 10e9, model: { layers: 8, replicas: 4 }, seed });
    await site.run(20_000 + seed * 500);
    const first = site.holder!;
    site.pause(first);
    const started = site.clock.now();
    while (site.holder === undefined || site.holder === first) {
        await site.run(500);
    }
    return site.clock.now() - started;
}

async function measureTakeover(): Promise<void> {
    const times: number[] = [];
    for (let seed = 1; seed <= 40; seed++) {
        times.push(await takeoverTime(seed) / 1000);
    }
    times.sort((a, b) => a - b);
    process.stdout.write(`40 takeovers, s | ${times[0]} least | ${times[20]} median | ${times[39]} most\n`);
}

/** Measures the processor time, as a share of a core, of one process that polls 18 duties whose ticks do nothing. */
async function measureIdleProcess(processes: number): Promise<void> {
    const clock = new ManualClock();
    const members = Array.from({ length: processes }, (_, index) => (
        { process: `p${index}`, dataCentre: `d${index % 18}`, leaving: false }
    ));
    const runner = new DutyRunner({
        store: new ScriptedStore(),
        clock,
        random: seededRandom(1),
        process: "p0",
        incarnation: "1",
        members: () => members,
        duties: Array.from({ length: 18 }, (_, index) => (
            { name: `orders/d${index}`, dataCentre: `d${index}`, tick: () => Promise.resolve() }
        )),
    });
    runner.start();
    const seconds = 600;
    const before = process.cpuUsage();
    await clock.advanceAsync(seconds * 1000, 1000);
    const { user, system } = process.cpuUsage(before);
    const share = (user + system) / 1e6 / seconds * 100;
    process.stdout.write(`${processes} processes known: ${share.toFixed(3)}% of a core\n`);
}

process.stdout.write("replicas | targets | state | plan p50 ms | plan max ms\n");
for (const replicas of [40, 100, 375, 1000]) {
    measurePlan(replicas, "v1");
    measurePlan(replicas, "v2");
}
process.stdout.write("\nstage GB | GB/s of one load | load s | loss to ready s | beyond the load s\n");
for (const [size, rate] of [[1, 1], [1, 10], [4, 1], [4, 10], [20, 1], [20, 10]]) {
    await measureRepair(size!, rate!);
}
process.stdout.write(
    "\nten minutes of one duty | store reads a minute | store writes a minute | changes of placements\n",
);
await measureStore("at rest", () => undefined);
await measureStore("with a rollout of 4 pipelines", site => site.setModel({ current: "v2" }));
process.stdout.write("\n");
await measureTakeover();
process.stdout.write("\nparticipation in 18 duties\n");
await measureIdleProcess(1000);
await measureIdleProcess(8500);
